"""Membership over real daemons: kill, freeze, restart, replace, outage."""

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

LOST = "entry-2"
# Death by silence takes 30 s; the others take a few seconds.
TIMEOUT_S = 60.0


def small_deployment(case, daemons=3):
    """Starts the small deployment and waits until all daemons heard each other."""
    deployment = start_small_deployment(case.enterContext(Deployment()), daemons)
    names = list(deployment.daemons)
    wait_until(lambda: all(incarnation_of(deployment, name) > 0 for name in names))
    return deployment


def states_of(deployment, name):
    """Returns what the other running daemons hold a daemon for."""
    others = [
        each
        for each, process in deployment.daemons.items()
        if each != name and process.popen.poll() is None
    ]
    known = [deployment.status(each)["member_states"] for each in others]
    return [each[name]["state"] if name in each else None for each in known]


def incarnation_of(deployment, name):
    """Returns the lowest incarnation at which the others know a daemon."""
    others = [each for each in deployment.daemons if each != name]
    return min(
        deployment.status(each)["member_states"].get(name, {}).get("incarnation", 0)
        for each in others
    )


def all_hold(deployment, state, name=LOST):
    """Returns whether all other daemons hold one in a state."""
    return set(states_of(deployment, name)) == {state}


def looked_up(deployment, asked="entry-1"):
    """Returns the addresses that a lookup gives."""
    path = "/v1/lookup?service=summary&workspace=ws-1"
    reply = call_json(deployment.daemons[asked].address, "GET", path)
    return [each["address"] for each in reply["addresses"]]


def wait_for_datagrams(deployment, name, count):
    """Waits until a daemon has sent and received some more datagrams.

    Thirty take more than the 2 s after which a process notices its pause.
    """
    before = deployment.status(name)["probe_traffic"][1]
    wait_until(
        lambda: deployment.status(name)["probe_traffic"][1] >= before + count, TIMEOUT_S
    )


def proofs(deployment, name, died=LOST):
    """Returns the proofs of a death that a daemon logged."""
    return [
        line["proof"]
        for line in deployment.daemons[name].log_lines()
        if line.get("event") == "member_died" and line["member"] == died
    ]


def test_killed_daemon_is_proven_dead(case):
    """Guards against a dead daemon that stays in the lookup or unproven."""
    deployment = small_deployment(case)
    lost = deployment.daemons[LOST]
    lost.kill()
    wait_until(lambda: all_hold(deployment, "dead"), TIMEOUT_S)
    case.assertNotIn(lost.address, looked_up(deployment))
    for name in ("entry-1", "entry-3"):
        case.assertEqual(len(proofs(deployment, name)), 1)


def test_frozen_daemon_leaves_the_lookup_and_comes_back(case):
    """Guards against callers sent to a frozen daemon, and against its false death."""
    deployment = small_deployment(case)
    lost = deployment.daemons[LOST]
    lost.signal(signal.SIGSTOP)
    wait_until(lambda: all_hold(deployment, "suspected"), TIMEOUT_S)
    case.assertNotIn(lost.address, looked_up(deployment))
    wait_for_datagrams(deployment, "entry-1", 30)
    lost.signal(signal.SIGCONT)
    wait_until(lambda: all_hold(deployment, "live"), TIMEOUT_S)
    case.assertIn(lost.address, looked_up(deployment))
    case.assertEqual(proofs(deployment, "entry-1"), [])


def test_long_frozen_daemon_takes_a_new_incarnation(case):
    """Guards against two owners of the requests of a daemon held for dead."""
    deployment = small_deployment(case)
    old = incarnation_of(deployment, LOST)
    lost = deployment.daemons[LOST]
    lost.signal(signal.SIGSTOP)
    wait_until(lambda: all_hold(deployment, "dead"), TIMEOUT_S)
    case.assertIn(proofs(deployment, "entry-1")[0], ("silence", "told by entry-3"))
    lost.signal(signal.SIGCONT)
    wait_until(lambda: all_hold(deployment, "live"), TIMEOUT_S)
    case.assertGreater(incarnation_of(deployment, LOST), old)
    case.assertEqual(len(proofs(deployment, "entry-1")), 1)
    events = [line.get("event") for line in lost.log_lines()]
    case.assertIn("paused", events)


def test_replaced_daemon_is_another_incarnation(case):
    """Guards against a new process that is taken for the old one."""
    deployment = small_deployment(case)
    old = incarnation_of(deployment, LOST)
    deployment.daemons[LOST].kill()
    deployment.start_daemon(LOST)
    deployment.publish()
    wait_until(lambda: incarnation_of(deployment, LOST) > old, TIMEOUT_S)
    wait_until(lambda: all_hold(deployment, "live"), TIMEOUT_S)
    wait_until(
        lambda: deployment.daemons[LOST].address in looked_up(deployment), TIMEOUT_S
    )
    wait_until(lambda: proofs(deployment, "entry-1"), TIMEOUT_S)


def test_leaving_daemon_is_out_of_every_lookup(case):
    """Guards against callers that are sent to a daemon that drains."""
    deployment = small_deployment(case)
    lost = deployment.daemons[LOST]
    body = {"model": "summary", "prompt": "x" * 400, "max_tokens": 400}
    client = Client([lost.address], "ws-1")
    client.addresses = lambda service: (lost.address,)
    texts = client.complete("summary", body["prompt"], body["max_tokens"])
    parts = [next(texts)]
    lost.signal(signal.SIGTERM)
    wait_until(lambda: lost.address not in looked_up(deployment), TIMEOUT_S)
    case.assertIsNone(lost.popen.poll())
    parts.extend(texts)
    case.assertEqual("".join(parts), answer_text(body["prompt"], body["max_tokens"]))


def test_platform_outage_changes_no_member(case):
    """Guards against members that are lost with the platform."""
    deployment = small_deployment(case)
    call_json(deployment.platform.address, "POST", "/control/faults", {"outage": True})
    names = list(deployment.daemons)
    for name in names:
        wait_for_datagrams(deployment, name, 30)
    for name in names:
        case.assertEqual(set(states_of(deployment, name)), {"live"})
    deployment.daemons[LOST].kill()
    wait_until(lambda: all_hold(deployment, "dead"), TIMEOUT_S)


def run_light_load(deployment, outcomes, ended):
    """Sends one request after another, with fail-over, until told to end."""
    number = 0
    while not ended.is_set():
        number += 1
        seeds = [each.address for each in deployment.daemons.values()]
        client = Client(seeds, f"ws-{number % 7}")
        prompt = f"request {number}"
        try:
            answer = "".join(client.complete("summary", prompt, 5))
            outcomes.append(answer == answer_text(prompt, 5))
        except CallFailed as exc:
            outcomes.append(exc)
        gevent.sleep(0.05)


def test_all_daemons_are_replaced_under_load(case):
    """Guards against a request that is lost while daemons are replaced."""
    deployment = small_deployment(case)
    outcomes, ended = [], gevent.event.Event()
    load = gevent.spawn(run_light_load, deployment, outcomes, ended)
    for number, name in enumerate(list(deployment.daemons), 1):
        wait_until(lambda: len(outcomes) >= 10 * number)
        old = deployment.daemons.pop(name)
        deployment.start_daemon(f"new-{number}")
        deployment.publish()
        deployment.wait_ready()
        old.signal(signal.SIGTERM)
        case.assertEqual(old.popen.wait(TIMEOUT_S), 0)
    done = len(outcomes)
    wait_until(lambda: len(outcomes) >= done + 10)
    ended.set()
    load.join(TIMEOUT_S)
    case.assertEqual([each for each in outcomes if each is not True], [])
    wait_until(lambda: len(looked_up(deployment, "new-1")) == 3, TIMEOUT_S)


def chosen_decode_servers(deployment, count=10):
    """Sends requests and returns the decode server of each one's placement."""
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
    """Guards against new work on a leaving server while the list lags."""
    deployment = small_deployment(case)
    # The server that is used most leaves, so that its absence means something.
    leaving = Counter(chosen_decode_servers(deployment)).most_common(1)[0][0]
    deployment.leaving_instances.add(leaving)
    deployment.publish()
    wait_until(lambda: leaving not in chosen_decode_servers(deployment, 4), TIMEOUT_S)
    call_json(deployment.platform.address, "POST", "/control/faults", {"outage": True})
    case.assertNotIn(leaving, chosen_decode_servers(deployment))


load_tests = collect(globals())
