"""Acceptance and adoption of configurations by daemon processes."""

import signal
import time

import gevent

from amaranthbay.standins.processes import Deployment, call_json
from amaranthbay.utils.testing import collect, wait_until

DAEMONS = 9
FULL_SIZE_DAEMONS = 320
# The others probe a daemon that they consider dead every 10 s.
RESTART_BOUND_S = 60.0


def start_daemons(case):
    """Starts nine daemons with version 1 in force; returns their `Deployment`."""
    deployment = case.enterContext(Deployment())
    for number in range(1, DAEMONS + 1):
        deployment.start_daemon(f"entry-{number}")
    deployment.publish()
    deployment.accept()
    deployment.wait_ready()
    return deployment


def set_faults(deployment, **faults):
    """Replaces the faults of the platform; without any, it works normally."""
    call_json(deployment.platform.address, "POST", "/control/faults", faults)


def versions(deployment, names):
    """Returns the set of versions that the named daemons report."""
    return {deployment.status(name)["config_version"] for name in names}


def has_adopted(process, version):
    """Returns whether a daemon has logged that it adopted a version."""
    return any(
        line.get("event") == "configuration_adopted" and line["version"] == version
        for line in process.log_lines()
    )


def refusal_reason(deployment, name):
    """Returns the reason with which a daemon refuses a call to an unknown service."""
    path = "/v1/services/absent/x"
    return call_json(deployment.daemons[name].address, "GET", path)["reason"]


def test_acceptances_come_into_force_on_nine_daemons(case):
    """Guards against a daemon that doesn't adopt an accepted version."""
    deployment = start_daemons(case)
    address = deployment.platform.address
    counts_before = call_json(address, "GET", "/control/counts")
    started_at = time.monotonic()
    set_faults(deployment, lose_replies=1)
    outcome = deployment.accept()
    case.assertEqual((outcome.state, outcome.version), ("accepted", 2))
    # Asking for the status would add reads, so the logs are used.
    wait_until(
        lambda: all(has_adopted(process, 2) for process in deployment.daemons.values())
    )
    elapsed_s = time.monotonic() - started_at
    counts_after = call_json(address, "GET", "/control/counts")
    reads = sum(
        counts_after[name] - counts_before[name] for name in ("reads", "objects_got")
    )
    rate = reads / elapsed_s / DAEMONS * FULL_SIZE_DAEMONS
    print(
        f"\nin force on {DAEMONS} daemons after {elapsed_s:.2f} s;"
        f" extrapolated to {FULL_SIZE_DAEMONS} daemons: {rate:.0f} reads/s"
    )


def test_outage_freeze_and_restart_end_with_the_accepted_version(case):
    """Guards against a daemon that keeps an old version or returns to one."""
    deployment = start_daemons(case)
    names = list(deployment.daemons)
    frozen = deployment.daemons["entry-1"]
    frozen.signal(signal.SIGSTOP)
    case.assertEqual(deployment.accept().version, 2)
    wait_until(lambda: versions(deployment, names[1:]) == {2})
    set_faults(deployment, outage=True)
    case.assertEqual(deployment.accept().state, "not_accepted")
    frozen.signal(signal.SIGCONT)
    wait_until(lambda: deployment.status("entry-1")["config_version"] == 2)
    wait_until(
        lambda: {refusal_reason(deployment, name) for name in names}
        == {"unknown_service"}
    )
    set_faults(deployment)
    deployment.daemons["entry-2"].kill()
    deployment.start_daemon("entry-2")
    wait_until(lambda: has_version(deployment, "entry-2", 2))
    case.assertEqual(versions(deployment, names), {2})


def test_daemon_restarted_in_an_outage_takes_the_version_of_its_peers(case):
    """Guards against new daemons that get no configuration during an outage."""
    deployment = case.enterContext(Deployment())
    for number in range(1, 4):
        deployment.start_daemon(f"entry-{number}")
    deployment.publish()
    deployment.accept()
    case.assertEqual(deployment.accept().version, 2)
    deployment.wait_ready(version=2)
    set_faults(deployment, outage=True)
    deployment.restart_daemon("entry-2")
    wait_until(lambda: has_version(deployment, "entry-2", 2), RESTART_BOUND_S)
    wait_until(
        lambda: refusal_reason(deployment, "entry-2") == "unknown_service",
        RESTART_BOUND_S,
    )


def test_daemon_that_reaches_nobody_refuses_until_the_platform_answers(case):
    """Guards against work under a configuration that may have been replaced."""
    deployment = case.enterContext(Deployment())
    deployment.start_daemon("entry-1")
    deployment.publish()
    deployment.accept()
    deployment.wait_ready()
    case.assertEqual(refusal_reason(deployment, "entry-1"), "unknown_service")
    set_faults(deployment, outage=True)
    wait_until(
        lambda: refusal_reason(deployment, "entry-1") == "configuration_unconfirmed"
    )
    set_faults(deployment)
    wait_until(lambda: refusal_reason(deployment, "entry-1") == "unknown_service")


def has_version(deployment, name, version):
    """Returns whether a daemon answers and has a version in force."""
    try:
        return deployment.status(name)["config_version"] == version
    except OSError:
        return False


def test_of_two_operators_one_is_accepted(case):
    """Guards against an acceptance that overwrites a concurrent one.

    Both may be accepted, but only one after the other.
    """
    deployment = start_daemons(case)
    jobs = [gevent.spawn(deployment.accept, operator=name) for name in ("a", "b")]
    gevent.joinall(jobs, raise_error=True)
    states = [job.value.state for job in jobs]
    accepted = states.count("accepted")
    case.assertIn(accepted, (1, 2))
    case.assertEqual(accepted + states.count("conflict"), 2)
    wait_until(lambda: versions(deployment, deployment.daemons) == {1 + accepted})


load_tests = collect(globals())
