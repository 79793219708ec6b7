"""Membership of daemon processes that are killed, frozen, restarted or replaced."""

import signal
from collections import Counter

import gevent
import msgspec

from amaranthbay.client import Client
from amaranthbay.client.client import CallFailed
from amaranthbay.standins.processes import Deployment, call_json, start_small_deployment
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.http import exchange_whole
from amaranthbay.utils.testing import collect, wait_until

# The daemon that a test kills, freezes or asks to leave.
TARGET = "entry-2"
# A proof of death by silence takes 30 s; other proofs take a few seconds.
TIMEOUT_S = 60.0


def small_deployment(case, daemons=3):
    """Starts the small deployment and waits until all daemons know each other."""
    deployment = start_small_deployment(case.enterContext(Deployment()), daemons)
    names = list(deployment.daemons)
    wait_until(lambda: all(incarnation_of(deployment, name) > 0 for name in names))
    return deployment


def states_of(deployment, name):
    """Returns the state of a daemon in the view of each other running daemon.

    The state is None in the view of a daemon that doesn't know it.
    """
    others = [
        other
        for other, process in deployment.daemons.items()
        if other != name and process.popen.poll() is None
    ]
    views = [deployment.status(other)["member_states"] for other in others]
    return [view[name]["state"] if name in view else None for view in views]


def incarnation_of(deployment, name):
    """Returns the lowest incarnation of a daemon that another daemon knows.

    It is 0 while one of the others doesn't know the daemon.
    """
    others = [other for other in deployment.daemons if other != name]
    return min(
        deployment.status(other)["member_states"].get(name, {}).get("incarnation", 0)
        for other in others
    )


def all_see(deployment, state, name=TARGET):
    """Returns whether a daemon is in a state in the view of all other daemons."""
    return set(states_of(deployment, name)) == {state}


def lookup_addresses(deployment, name="entry-1"):
    """Returns the addresses in a daemon's answer to a lookup."""
    path = "/v1/lookup?service=summary&workspace=ws-1"
    reply = call_json(deployment.daemons[name].address, "GET", path)
    return [entry["address"] for entry in reply["addresses"]]


def wait_for_datagrams(deployment, name, count):
    """Waits until a daemon has sent and received ``count`` more datagrams.

    Thirty datagrams take more than the 2 s after which a process notices its pause.
    """
    before = deployment.status(name)["probe_traffic"][1]
    wait_until(
        lambda: deployment.status(name)["probe_traffic"][1] >= before + count, TIMEOUT_S
    )


def proofs(deployment, name, died=TARGET):
    """Returns the proofs that a daemon logged for the death of another daemon."""
    return [
        line["proof"]
        for line in deployment.daemons[name].log_lines()
        if line.get("event") == "member_died" and line["member"] == died
    ]


def test_killed_daemon_is_proven_dead(case):
    """Guards against a dead daemon that stays in lookups or is never declared dead."""
    deployment = small_deployment(case)
    target = deployment.daemons[TARGET]
    target.kill()
    wait_until(lambda: all_see(deployment, "dead"), TIMEOUT_S)
    case.assertNotIn(target.address, lookup_addresses(deployment))
    for name in ("entry-1", "entry-3"):
        case.assertEqual(len(proofs(deployment, name)), 1)


def test_frozen_daemon_leaves_the_lookup_and_comes_back(case):
    """Guards against lookups that name a frozen daemon, and against declaring it
    dead."""
    deployment = small_deployment(case)
    target = deployment.daemons[TARGET]
    target.signal(signal.SIGSTOP)
    wait_until(lambda: all_see(deployment, "suspected"), TIMEOUT_S)
    case.assertNotIn(target.address, lookup_addresses(deployment))
    wait_for_datagrams(deployment, "entry-1", 30)
    target.signal(signal.SIGCONT)
    wait_until(lambda: all_see(deployment, "live"), TIMEOUT_S)
    case.assertIn(target.address, lookup_addresses(deployment))
    case.assertEqual(proofs(deployment, "entry-1"), [])


def test_long_frozen_daemon_takes_a_new_incarnation(case):
    """Guards against two owners of the requests of a daemon that was declared dead."""
    deployment = small_deployment(case)
    old = incarnation_of(deployment, TARGET)
    target = deployment.daemons[TARGET]
    target.signal(signal.SIGSTOP)
    wait_until(lambda: all_see(deployment, "dead"), TIMEOUT_S)
    case.assertIn(proofs(deployment, "entry-1")[0], ("silence", "told by entry-3"))
    target.signal(signal.SIGCONT)
    wait_until(lambda: all_see(deployment, "live"), TIMEOUT_S)
    case.assertGreater(incarnation_of(deployment, TARGET), old)
    case.assertEqual(len(proofs(deployment, "entry-1")), 1)
    events = [line.get("event") for line in target.log_lines()]
    case.assertIn("paused", events)


def test_replaced_daemon_is_another_incarnation(case):
    """Guards against mistaking a new process for the old one."""
    deployment = small_deployment(case)
    old = incarnation_of(deployment, TARGET)
    deployment.daemons[TARGET].kill()
    deployment.start_daemon(TARGET)
    deployment.publish()
    wait_until(lambda: incarnation_of(deployment, TARGET) > old, TIMEOUT_S)
    wait_until(lambda: all_see(deployment, "live"), TIMEOUT_S)
    wait_until(
        lambda: deployment.daemons[TARGET].address in lookup_addresses(deployment),
        TIMEOUT_S,
    )
    wait_until(lambda: proofs(deployment, "entry-1"), TIMEOUT_S)


def test_leaving_daemon_is_out_of_every_lookup(case):
    """Guards against lookups that name a draining daemon."""
    deployment = small_deployment(case)
    target = deployment.daemons[TARGET]
    body = {"model": "summary", "prompt": "x" * 400, "max_tokens": 400}
    client = Client([target.address], "ws-1")
    client.addresses = lambda service: (target.address,)
    texts = client.complete("summary", body["prompt"], body["max_tokens"])
    parts = [next(texts)]
    target.signal(signal.SIGTERM)
    wait_until(lambda: target.address not in lookup_addresses(deployment), TIMEOUT_S)
    case.assertIsNone(target.popen.poll())
    parts.extend(texts)
    case.assertEqual("".join(parts), answer_text(body["prompt"], body["max_tokens"]))


def test_platform_outage_changes_no_member(case):
    """Guards against losing members in an outage of the platform."""
    deployment = small_deployment(case)
    call_json(deployment.platform.address, "POST", "/control/faults", {"outage": True})
    names = list(deployment.daemons)
    for name in names:
        wait_for_datagrams(deployment, name, 30)
    for name in names:
        case.assertEqual(set(states_of(deployment, name)), {"live"})
    deployment.daemons[TARGET].kill()
    wait_until(lambda: all_see(deployment, "dead"), TIMEOUT_S)


def send_light_load(deployment, outcomes, ended):
    """Sends one request after another, with failover, until ``ended`` is set.

    Appends to ``outcomes`` whether each answer was right, or the exception.
    """
    number = 0
    while not ended.is_set():
        number += 1
        addresses = [daemon.address for daemon in deployment.daemons.values()]
        client = Client(addresses, f"ws-{number % 7}")
        prompt = f"request {number}"
        try:
            answer = "".join(client.complete("summary", prompt, 5))
            outcomes.append(answer == answer_text(prompt, 5))
        except CallFailed as exc:
            outcomes.append(exc)
        gevent.sleep(0.05)


def test_all_daemons_are_replaced_under_load(case):
    """Guards against losing a request while daemons are replaced."""
    deployment = small_deployment(case)
    outcomes, ended = [], gevent.event.Event()
    load = gevent.spawn(send_light_load, deployment, outcomes, ended)
    for number, name in enumerate(list(deployment.daemons), 1):
        wait_until(lambda: len(outcomes) >= 10 * number)
        old = deployment.daemons.pop(name)
        deployment.start_daemon(f"new-{number}")
        deployment.publish()
        deployment.wait_ready()
        old.signal(signal.SIGTERM)
        case.assertEqual(old.popen.wait(TIMEOUT_S), 0)
    outcome_count = len(outcomes)
    wait_until(lambda: len(outcomes) >= outcome_count + 10)
    ended.set()
    load.join(TIMEOUT_S)
    case.assertEqual([outcome for outcome in outcomes if outcome is not True], [])
    wait_until(lambda: len(lookup_addresses(deployment, "new-1")) == 3, TIMEOUT_S)


def chosen_decode_servers(deployment, count=10):
    """Sends requests and returns the decode server that each one was placed on."""
    address = deployment.daemons["entry-1"].address
    body = {"model": "summary", "prompt": "x" * 400, "max_tokens": 1}
    headers = [("X-Workspace", "ws-1")]
    for _ in range(count):
        raw = msgspec.json.encode(body)
        outcome = exchange_whole(address, "POST", "/v1/completions", raw, headers)
        if outcome.unwrap()[0] != 200:
            raise AssertionError(outcome.unwrap())
    placements = [
        line["chosen"][1]
        for line in deployment.daemons["entry-1"].log_lines()
        if line.get("event") == "decision" and line["decision"] == "placement"
    ]
    return placements[-count:]


def test_leaving_backend_server_gets_no_new_work(case):
    """Guards against new work for a leaving server while the instance list lags."""
    deployment = small_deployment(case)
    # The most used server leaves, so that its absence is significant.
    leaving = Counter(chosen_decode_servers(deployment)).most_common(1)[0][0]
    deployment.leaving_instances.add(leaving)
    deployment.publish()
    wait_until(lambda: leaving not in chosen_decode_servers(deployment, 4), TIMEOUT_S)
    call_json(deployment.platform.address, "POST", "/control/faults", {"outage": True})
    case.assertNotIn(leaving, chosen_decode_servers(deployment))


load_tests = collect(globals())
