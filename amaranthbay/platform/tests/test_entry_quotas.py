"""Quotas of workspaces over several entry processes."""

import time

import gevent
import msgspec

from amaranthbay.platform.tests.fixtures import (
    call,
    entry_fixture,
    entry_process,
    process_fixture,
)
from amaranthbay.platform.tests.standins import Reply
from amaranthbay.platform.tests.test_entry_keys import KEY, configure, document
from amaranthbay.utils.testing import collect, wait_until

HEADERS = (("X-Credential", KEY),)
RATE, BURST = 4, 4
# More than three buckets that know nothing of each other need to exceed the bound, and
# less than the window of the bound.
FLOOD_S = 5.0
BOUND = (8 * RATE + BURST) * 1.1


def tenants(**quota):
    return ({"Name": "w-1", "ApiKeys": [KEY], **quota},)


def retry_s(answer):
    """Returns the seconds after which a refused caller may come back."""
    return float(answer.headers["retry-after"])


def test_processes_share_a_quota(case):
    """Guards against processes that each allow a whole quota, and against refusals that
    don't say when to retry."""
    first, store, servers = case.enterContext(process_fixture())
    address = store_address_of(first)
    processes = [first] + [
        case.enterContext(entry_process(address, name=name)) for name in ("n-2", "n-3")
    ]
    wait_until(lambda: all(len(hears(process)) == 2 for process in processes))
    quota = tenants(RatePerS=RATE, Burst=BURST)
    store.put("op", "config", document(2, quota))
    wait_until(lambda: all(is_in_force(process, 2) for process in processes))
    answers, ends_at = [], time.monotonic() + FLOOD_S
    while time.monotonic() < ends_at:
        process = processes[len(answers) % len(processes)]
        answers.append(call(process, "/look/x", headers=HEADERS))
    served = [answer for answer in answers if answer.status == 200]
    refused = [answer for answer in answers if answer.status != 200]
    case.assertLessEqual(len(served), BOUND)
    case.assertGreaterEqual(len(served), RATE)
    case.assertEqual({answer.status for answer in refused}, {429})
    case.assertEqual(len(servers["desk-1"].received), len(served))
    answer = refused[-1]
    for _ in range(3):
        gevent.sleep(retry_s(answer))
        answer = call(processes[0], "/look/x", headers=HEADERS)
        if answer.status == 200:
            break
    case.assertEqual(answer.status, 200)
    line, *_ = first.events("quota_exceeded")
    case.assertEqual((line["workspace"], line["units"]), ("w-1", 1))


def store_address_of(process):
    (line,) = process.events("started")
    return line["store"]


def hears(process):
    return {line["member"] for line in process.events("member_heard")}


def is_in_force(process, version):
    lines = process.events("configuration_in_force")
    return any(line["version"] == version for line in lines)


def test_request_that_did_not_run_costs_no_quota(case):
    """Guards against charges for requests that were refused as not run."""
    fixture = case.enterContext(entry_fixture())
    configure(fixture, 2, tenants(RatePerS=0.01, Burst=1))
    workspace = fixture.daemon.configuration.table.workspaces.named("w-1")
    quotas = fixture.daemon.quotas
    # Before the table of instances is read, a bucket holds a fraction of the burst.
    wait_until(lambda: quotas._part.part == 1.0)
    # The buckets of a new process are empty for long at this rate.
    bucket = quotas._bucket("w-1", quotas._bounds().quota_of(workspace))
    bucket.level = 1.0
    refusal = Reply(503, (("X-Not-Executed", "1"),))
    fixture.servers["desk-1"].replies.extend([refusal] * 5)
    case.assertEqual(call(fixture, "/book/x", headers=HEADERS).status, 503)
    case.assertGreater(bucket.level, 0.9)
    fixture.servers["desk-1"].replies.clear()
    case.assertEqual(call(fixture, "/book/x", headers=HEADERS).status, 200)
    case.assertEqual(call(fixture, "/book/x", headers=HEADERS).status, 429)


def test_refusal_names_the_reason_and_sends_nothing(case):
    """Guards against requests over the quota that reach a server, and against other
    workspaces and deployments that a quota touches."""
    fixture = case.enterContext(entry_fixture())
    configure(fixture, 2, tenants(RatePerS=1, Burst=1, Unit="token_stream"))
    big = (*HEADERS, ("X-Token-Count", "100,40"))
    answer = call(fixture, "/look/x", headers=big)
    case.assertEqual(answer.status, 429)
    problem = msgspec.json.decode(answer.body)
    case.assertEqual(
        (problem["title"], problem["verdict"]), ("quota_exceeded", "not_run")
    )
    case.assertGreater(retry_s(answer), 0.0)
    case.assertEqual(fixture.servers["desk-1"].received, [])
    configure(fixture, 3, tenants())
    case.assertEqual(call(fixture, "/look/x", headers=big).status, 200)


load_tests = collect(globals())
