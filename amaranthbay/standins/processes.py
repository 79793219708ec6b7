"""Starts and ends a small deployment of real processes on loopback."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field, replace
from pathlib import Path

import gevent
import msgspec

from amaranthbay.platform.http import HttpObjectStore, HttpTableService
from amaranthbay.platform.types import Instance
from amaranthbay.standins.configurations import small_configuration
from amaranthbay.state.config_store import accept_configuration
from amaranthbay.utils.http import json_exchange
from amaranthbay.utils.testing import free_port, wait_until

__all__ = [
    "Deployment",
    "Process",
    "call_json",
    "small_configuration",
    "start_small",
]

REGION = "region-1"
ZONES = ("zone-a", "zone-b")
STOP_BOUND_S = 10


def call_json(address, method, path, value=None):
    """Sends a JSON request and returns the decoded reply; raises OSError."""
    body = b"" if value is None else msgspec.json.encode(value)
    outcome = json_exchange(address, method, path, body, timeout_s=5.0)
    if outcome.is_err():
        raise OSError(outcome.unwrap_err().detail)
    return msgspec.json.decode(outcome.unwrap()[1])


@dataclass
class Process:
    """One started process and its entry in the instance list."""

    name: str
    popen: subprocess.Popen
    entry: Instance | None = None
    log_path: Path | None = None

    @property
    def address(self):
        """Caller or HTTP address."""
        return self.entry.address

    def signal(self, signum):
        """Sends a signal."""
        self.popen.send_signal(signum)

    def kill(self):
        """Kills the process and waits for its end."""
        self.popen.kill()
        self.popen.wait()

    def log_lines(self):
        """Returns the decoded JSON lines that the process has logged."""
        lines = self.log_path.read_text().splitlines()
        return [msgspec.json.decode(line) for line in lines if line.startswith("{")]


@dataclass
class Deployment:
    """A platform, backend servers and daemons; use it as a context manager."""

    folder: Path = None
    platform: Process = None
    unpack_folder: str = ""
    _starting: list = field(default_factory=list)
    _started: list = field(default_factory=list)
    backends: dict = field(default_factory=dict)
    daemons: dict = field(default_factory=dict)
    leaving: set = field(default_factory=set)
    program: tuple = ()
    unpack_parent: Path = None
    key: str = "key-of-a-deployment-on-loopback"
    _stack: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)

    def __enter__(self):
        try:
            return self._enter()
        except BaseException:
            # Without this, an interrupted start would leave processes behind.
            self.__exit__()
            raise

    def _enter(self):
        if self.program:
            self.unpack_folder = self._unpack_folder()
        self.program = self.program or (sys.executable, "-m", "amaranthbay")
        folder = tempfile.TemporaryDirectory(prefix="amaranthbay-")
        self.folder = Path(self._stack.enter_context(folder))
        address = f"127.0.0.1:{free_port()}"
        entry = Instance("platform", "platform", ZONES[0], "live", address)
        command = [*_standin_command("platform"), address]
        self.platform = self._start("platform", command, entry)
        wait_until(lambda: _answers(address, "/instances"))
        return self

    def __exit__(self, *exc_info):
        gevent.joinall(self._starting)
        running = [each for each in self._started if each.poll() is None]
        for popen in running:
            popen.send_signal(signal.SIGCONT)
            popen.send_signal(signal.SIGTERM)
        for popen in running:
            try:
                popen.wait(STOP_BOUND_S)
            except subprocess.TimeoutExpired:
                popen.kill()
                popen.wait()
        self._stack.close()

    @property
    def key_path(self):
        """File that holds the daemons' key."""
        return self.folder / "peers.key"

    def processes(self):
        """Returns all processes that were started, daemons first."""
        started = [*self.daemons.values(), *self.backends.values()]
        return [*started, self.platform] if self.platform else started

    def _unpack_folder(self):
        """Returns the folder into which the one-file program unpacks itself."""
        parent = self.unpack_parent
        folder = tempfile.TemporaryDirectory(prefix="amaranthbay-", dir=parent)
        return self._stack.enter_context(folder)

    def _environ(self, of_program):
        """Returns the environment; the one-file program finds no other modules."""
        environ = dict(os.environ)
        if of_program and self.unpack_folder:
            environ.pop("PYTHONPATH", None)
            return environ | {"SHIV_ROOT": self.unpack_folder}
        return environ | {"PYTHONPATH": str(Path(__file__).resolve().parents[2])}

    def _start(self, name, command, entry, of_program=False):
        log_path = self.folder / f"{name}.log"
        log = self._stack.enter_context(open(log_path, "ab"))
        environ = self._environ(of_program)
        # The start runs in a greenlet of its own, so that an interruption can't
        # come between the start of a process and the note of it.
        job = gevent.spawn(self._open, command, log, environ)
        self._starting.append(job)
        popen = job.get()
        return Process(name, popen, entry, log_path)

    def _open(self, command, log, environ):
        popen = subprocess.Popen(command, stdout=log, stderr=log, env=environ)
        self._started.append(popen)
        return popen

    def start_engine(self, name, role, zone=ZONES[0], *options):
        """Starts an engine stand-in of the pool named like its role."""
        address = f"127.0.0.1:{free_port()}"
        entry = Instance(name, "backend", zone, "live", address, REGION, role, role)
        command = [*_standin_command("engine"), address, "--role", role, *options]
        self.backends[name] = self._start(name, command, entry)
        return self.backends[name]

    def start_ledger(self, name="ledger-1", zone=ZONES[0]):
        """Starts a plain service stand-in."""
        address = f"127.0.0.1:{free_port()}"
        entry = Instance(
            name, "backend", zone, "live", address, REGION, "ledger", "plain"
        )
        command = [*_standin_command("ledger"), address]
        self.backends[name] = self._start(name, command, entry)
        return self.backends[name]

    def start_daemon(self, name, zone=ZONES[0], extra=""):
        """Starts a daemon; ``extra`` is TOML that comes before any table."""
        ports = [free_port(), free_port(), free_port()]
        caller, membership, peer = (f"127.0.0.1:{port}" for port in ports)
        self.key_path.write_text(self.key)
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'instance = "{name}"\n'
            f'availability_zone = "{zone}"\n'
            f'region = "{REGION}"\n'
            f'caller_address = "{caller}"\n'
            f'membership_address = "{membership}"\n'
            f'peer_address = "{peer}"\n'
            f'platform_address = "{self.platform.address}"\n'
            f"{extra}\n"
            f'[[keys]]\nid = "peers"\nfile = "{self.key_path}"\n'
        )
        entry = Instance(
            instance=name,
            kind="entry",
            availability_zone=zone,
            state="live",
            address=caller,
            region=REGION,
            membership_address=membership,
            peer_address=peer,
        )
        return self._run_daemon(entry)

    def restart_daemon(self, name):
        """Kills a daemon and starts it again with the same addresses."""
        self.daemons[name].kill()
        return self._run_daemon(self.daemons[name].entry)

    def _run_daemon(self, entry):
        name = entry.instance
        path = self.folder / f"{name}.toml"
        command = [*self.program, "daemon", "--settings", str(path)]
        self.daemons[name] = self._start(name, command, entry, of_program=True)
        return self.daemons[name]

    def publish(self):
        """Gives the instance list of all running processes to the platform."""
        listed = [*self.daemons.values(), *self.backends.values()]
        entries = [
            replace(
                each.entry, state="leaving" if each.name in self.leaving else "live"
            )
            for each in listed
            if each.popen.poll() is None
        ]
        call_json(self.platform.address, "POST", "/control/instances", entries)

    def accept(self, cfg=None, operator="tester"):
        """Accepts a configuration and returns the outcome."""
        table = HttpTableService(self.platform.address)
        objects = HttpObjectStore(self.platform.address)
        return accept_configuration(
            table, objects, cfg or small_configuration(), operator
        )

    def status(self, name):
        """Returns a daemon's status; raises OSError if it doesn't answer."""
        return call_json(self.daemons[name].address, "GET", "/v1/status")

    def wait_ready(self, version=1):
        """Waits until all daemons and backend servers serve."""
        for process in self.backends.values():
            wait_until(lambda: _connects(process.address))
        for name in self.daemons:
            wait_until(lambda: self._is_ready(name, version))

    def _is_ready(self, name, version):
        process = self.daemons[name]
        if process.popen.poll() is not None:
            raise RuntimeError(f"{name} ended: {process.log_path.read_text()}")
        try:
            status = self.status(name)
        except OSError:
            return False
        if "members" not in status:
            # Another process may have got the port; what it says tells which one.
            raise RuntimeError(f"{name} at {process.address} answered {status}")
        known = len(status["members"]) >= len(self.daemons)
        return status["config_version"] >= version and known

    def held(self):
        """Returns the attempts that hold memory on any engine."""
        found = []
        for process in self.backends.values():
            if process.entry.role != "plain" and process.popen.poll() is None:
                reply = call_json(process.address, "GET", "/control/held")
                found.extend(reply["held"])
        return found


def start_small(deployment, daemons=3, scale=0.2, cfg=None):
    """Starts two engines of each role, a ledger and daemons in two zones."""
    for number, zone in enumerate(ZONES, 1):
        scaled = ("--scale", str(scale))
        deployment.start_engine(f"prefill-{number}", "prefill", zone, *scaled)
        deployment.start_engine(f"decode-{number}", "decode", zone, *scaled)
    deployment.start_ledger()
    for number in range(1, daemons + 1):
        deployment.start_daemon(f"entry-{number}", ZONES[number % len(ZONES)])
    deployment.publish()
    deployment.accept(cfg)
    deployment.wait_ready()
    return deployment


def _standin_command(kind):
    return [sys.executable, "-m", "amaranthbay.standins", kind]


def _answers(address, path):
    outcome = json_exchange(address, "GET", path, timeout_s=1.0)
    return outcome.is_ok() and outcome.unwrap()[0] == 200


def _connects(address):
    outcome = json_exchange(address, "GET", "/", timeout_s=1.0)
    return outcome.is_ok()
