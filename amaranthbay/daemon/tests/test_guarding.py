"""Guards, which are other daemons, cancel the requests of a dead daemon."""

import signal

import msgspec

from amaranthbay.standins.processes import Deployment, call_json, start_small_deployment
from amaranthbay.utils.http import open_exchange
from amaranthbay.utils.testing import collect, wait_until

TIMEOUT_S = 60.0
# The daemon that a test kills or freezes.
TARGET = "entry-1"


def stream_through(deployment, name, max_tokens=50_000):
    """Opens a stream at a daemon and returns it after its first token."""
    body = {"model": "summary", "prompt": "x" * 400, "stream": True}
    body["max_tokens"] = max_tokens
    exchange = open_exchange(
        deployment.daemons[name].address,
        "POST",
        "/v1/completions",
        msgspec.json.encode(body),
        [("X-Workspace", "ws-1"), ("X-Caller", "desk")],
    ).unwrap()
    next(exchange.lines())
    return exchange


def cancelled_by(deployment, names):
    """Returns the ids of the attempts that the named daemons have cancelled."""
    return {
        line["attempt_id"]
        for name in names
        for line in deployment.daemons[name].log_lines()
        if line.get("event") == "cancelled"
    }


def wait_for_members(deployment):
    """Waits until every daemon considers all daemons live."""
    count = len(deployment.daemons)
    for name in deployment.daemons:
        wait_until(lambda: len(deployment.status(name)["members"]) == count)


def test_guards_cancel_for_a_killed_daemon(case):
    """Guards against engine memory that a dead daemon's request holds forever."""
    deployment = start_small_deployment(case.enterContext(Deployment()))
    wait_for_members(deployment)
    stream = stream_through(deployment, TARGET)
    case.addCleanup(stream.close)
    attempts_in_memory = deployment.attempts_in_memory()
    case.assertEqual(len(attempts_in_memory), 1)
    deployment.daemons[TARGET].kill()
    wait_until(lambda: not deployment.attempts_in_memory(), TIMEOUT_S)
    others = [name for name in deployment.daemons if name != TARGET]
    # The engine frees the memory before its answer reaches the guard, which then logs.
    cancelled = set(attempts_in_memory)
    wait_until(lambda: cancelled_by(deployment, others) >= cancelled, TIMEOUT_S)
    case.assertEqual(cancelled_by(deployment, others), cancelled)


def test_guards_leave_a_suspected_daemon_alone(case):
    """Guards against cancelling a live request because its daemon is slow."""
    deployment = start_small_deployment(case.enterContext(Deployment()))
    wait_for_members(deployment)
    stream = stream_through(deployment, TARGET)
    case.addCleanup(stream.close)
    target = deployment.daemons[TARGET]
    target.signal(signal.SIGSTOP)
    others = [name for name in deployment.daemons if name != TARGET]
    wait_until(
        lambda: all(
            deployment.status(name)["member_states"][TARGET]["state"] == "suspected"
            for name in others
        ),
        TIMEOUT_S,
    )
    case.assertEqual(len(deployment.attempts_in_memory()), 1)
    target.signal(signal.SIGCONT)
    wait_for_members(deployment)
    case.assertEqual(len(deployment.attempts_in_memory()), 1)
    case.assertEqual(cancelled_by(deployment, others), set())
    reply = call_json(target.address, "GET", "/v1/status")
    case.assertEqual(reply["in_flight"], 1)


load_tests = collect(globals())
