"""Configurations over nine daemons as processes."""

import signal
import time

import gevent

from amaranthbay.standins.processes import Deployment, call_json
from amaranthbay.utils.testing import collect, wait_until

DAEMONS = 9
FULL_SIZE = 320
# Others probe a daemon that they hold for dead every 10 s.
RESTART_BOUND_S = 60.0


def start_daemons(case):
    """Starts nine daemons with version 1 in force."""
    deployment = case.enterContext(Deployment())
    for number in range(1, DAEMONS + 1):
        deployment.start_daemon(f"entry-{number}")
    deployment.publish()
    deployment.accept()
    deployment.wait_ready()
    return deployment


def fault(deployment, **faults):
    call_json(deployment.platform.address, "POST", "/control/faults", faults)


def versions(deployment, names):
    return {deployment.status(name)["config_version"] for name in names}


def adopted(process, version):
    """Returns whether a daemon has logged that it adopted a version."""
    return any(
        line.get("event") == "configuration_adopted" and line["version"] == version
        for line in process.log_lines()
    )


def refusal(deployment, name):
    """Returns the reason for which a daemon refuses a call of no service."""
    path = "/v1/services/absent/x"
    return call_json(deployment.daemons[name].address, "GET", path)["reason"]


def test_acceptances_come_into_force_on_nine_daemons(case):
    """Guards against a version that some daemon does not adopt."""
    deployment = start_daemons(case)
    address = deployment.platform.address
    counts = call_json(address, "GET", "/control/counts")
    started = time.monotonic()
    fault(deployment, lose_replies=1)
    outcome = deployment.accept()
    case.assertEqual((outcome.state, outcome.version), ("accepted", 2))
    # A status would cost reads of its own.
    wait_until(lambda: all(adopted(each, 2) for each in deployment.daemons.values()))
    elapsed_s = time.monotonic() - started
    after = call_json(address, "GET", "/control/counts")
    reads = sum(after[name] - counts[name] for name in ("reads", "objects_got"))
    rate = reads / elapsed_s / DAEMONS * FULL_SIZE
    print(
        f"\nin force on {DAEMONS} daemons after {elapsed_s:.2f} s;"
        f" extrapolated to {FULL_SIZE} daemons: {rate:.0f} reads/s"
    )


def test_outage_freeze_and_restart_end_with_the_accepted_version(case):
    """Guards against a daemon that keeps, or goes back to, an old version."""
    deployment = start_daemons(case)
    names = list(deployment.daemons)
    frozen = deployment.daemons["entry-1"]
    frozen.signal(signal.SIGSTOP)
    case.assertEqual(deployment.accept().version, 2)
    wait_until(lambda: versions(deployment, names[1:]) == {2})
    fault(deployment, outage=True)
    case.assertEqual(deployment.accept().state, "not_accepted")
    frozen.signal(signal.SIGCONT)
    wait_until(lambda: deployment.status("entry-1")["config_version"] == 2)
    wait_until(
        lambda: {refusal(deployment, name) for name in names} == {"unknown_service"}
    )
    fault(deployment)
    deployment.daemons["entry-2"].kill()
    deployment.start_daemon("entry-2")
    wait_until(lambda: has_version(deployment, "entry-2", 2))
    case.assertEqual(versions(deployment, names), {2})


def test_daemon_restarted_in_an_outage_takes_the_version_of_its_peers(case):
    """Guards against daemons that can't be replaced while the platform is down."""
    deployment = case.enterContext(Deployment())
    for number in range(1, 4):
        deployment.start_daemon(f"entry-{number}")
    deployment.publish()
    deployment.accept()
    case.assertEqual(deployment.accept().version, 2)
    deployment.wait_ready(version=2)
    fault(deployment, outage=True)
    deployment.restart_daemon("entry-2")
    wait_until(lambda: has_version(deployment, "entry-2", 2), RESTART_BOUND_S)
    wait_until(
        lambda: refusal(deployment, "entry-2") == "unknown_service", RESTART_BOUND_S
    )


def test_daemon_that_reaches_nobody_refuses_until_the_platform_answers(case):
    """Guards against work under a configuration that may be replaced."""
    deployment = case.enterContext(Deployment())
    deployment.start_daemon("entry-1")
    deployment.publish()
    deployment.accept()
    deployment.wait_ready()
    case.assertEqual(refusal(deployment, "entry-1"), "unknown_service")
    fault(deployment, outage=True)
    wait_until(lambda: refusal(deployment, "entry-1") == "configuration_unconfirmed")
    fault(deployment)
    wait_until(lambda: refusal(deployment, "entry-1") == "unknown_service")


def has_version(deployment, name, version):
    try:
        return deployment.status(name)["config_version"] == version
    except OSError:
        return False


def test_of_two_operators_one_is_accepted(case):
    """Guards against an acceptance that replaces another one unseen."""
    deployment = start_daemons(case)
    jobs = [gevent.spawn(deployment.accept, operator=name) for name in ("a", "b")]
    gevent.joinall(jobs, raise_error=True)
    states = [job.value.state for job in jobs]
    accepted = states.count("accepted")
    case.assertIn(accepted, (1, 2))
    case.assertEqual(accepted + states.count("conflict"), 2)
    wait_until(lambda: versions(deployment, deployment.daemons) == {1 + accepted})


load_tests = collect(globals())
