"""A daemon uses no child processes, shared memory, writable files or io_uring."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
import uuid6

from amaranthbay.client import Client
from amaranthbay.daemon.tests.proc import find_process_violations
from amaranthbay.standins.processes import Deployment, start_small_deployment
from amaranthbay.utils.http import exchange_whole
from amaranthbay.utils.testing import collect, wait_until

ROOT = Path(__file__).resolve().parents[3]
PROGRAM = ROOT / "dist" / "amaranthbay"
# Memory-backed, so that unpacking the one-file program writes nothing to a disk.
MEMORY_FOLDER = Path("/dev/shm")
EXTRA_SETTINGS = 'metrics_endpoint = "http://127.0.0.1:9/v1/metrics"'
VIOLATIONS = {
    "child process": "child = subprocess.Popen(['sleep', '60'], stdout=-3)",
    "a child process has ended": "subprocess.run(['true'])",
    "shared mapping": "m = mmap.mmap(-1, 4096)",
    "open for writing": "f = open(sys.argv[1], 'w')",
}
VIOLATING_PROGRAM = """
import mmap, subprocess, sys
{}
print("ready", flush=True)
sys.stdin.read()
"""


def violations_after(case, statement):
    """Returns the violations by a process that has run a statement."""
    folder = Path(case.enterContext(TemporaryDirectory()))
    with open(folder / "log", "w") as log:
        child = subprocess.Popen(
            [
                sys.executable,
                "-c",
                VIOLATING_PROGRAM.format(statement),
                folder / "other",
            ],
            stdin=subprocess.PIPE,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
    wait_until(lambda: "ready" in (folder / "log").read_text())
    violations = find_process_violations(child.pid, folder / "log")
    for pid in _children_of(child.pid):
        subprocess.run(["kill", pid])
    child.communicate(b"")
    return violations


def _children_of(pid):
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return path.read_text().split()


def test_check_finds_each_violation(case):
    """Guards against a check that finds nothing, whatever a process does."""
    case.assertEqual(violations_after(case, "pass"), [])
    for rule, statement in VIOLATIONS.items():
        with case.subTest(rule):
            violations = violations_after(case, statement)
            case.assertTrue(
                any(violation.startswith(rule) for violation in violations), violations
            )


def send_requests(deployment):
    """Sends each daemon requests of the kinds that it gets in production."""
    for name, daemon in deployment.daemons.items():
        client = Client([daemon.address], "ws-1")
        client.addresses = lambda service, only=daemon.address: (only,)
        list(client.complete("summary", "what is due? " * 500, 20))
        posting = {"account": "a", "amount": 5, "reference": name}
        body = msgspec.json.encode(posting)
        client.call("ledger", "POST", "/postings", body, str(uuid6.uuid7()))
        exchange_whole(daemon.address, "GET", "/v1/status")


def violations_by_daemon(deployment):
    """Returns the violations by each daemon, by name of the daemon."""
    folder = deployment.unpack_folder or "/nonexistent"
    return {
        name: find_process_violations(daemon.popen.pid, daemon.log_path, folder)
        for name, daemon in deployment.daemons.items()
    }


def check_daemons(case, daemon_command=()):
    """Runs a small deployment and asserts that its daemons violate no rule."""
    memory = MEMORY_FOLDER if MEMORY_FOLDER.is_dir() else None
    deployment = case.enterContext(
        Deployment(daemon_command=daemon_command, unpack_parent=memory)
    )
    start_daemon = deployment.start_daemon
    deployment.start_daemon = lambda name, zone: start_daemon(
        name, zone, EXTRA_SETTINGS
    )
    start_small_deployment(deployment, daemons=2)
    send_requests(deployment)
    case.assertEqual(violations_by_daemon(deployment), {"entry-1": [], "entry-2": []})


def test_daemon_keeps_the_rules(case):
    """Guards against a library that forks, maps memory or writes files."""
    check_daemons(case)


def test_one_file_daemon_keeps_the_rules(case):
    """Guards against a loader that forks, and against a one-file program that can't
    serve."""
    built = subprocess.run(
        [sys.executable, "tools/build_dist.py"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    case.assertEqual(built.returncode, 0, built.stdout + built.stderr)
    # The interpreter itself, without the virtual environment. The one that env finds
    # may be a script of a version manager, which starts processes.
    check_daemons(case, (sys._base_executable, "-s", str(PROGRAM)))


load_tests = collect(globals())
