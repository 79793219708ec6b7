"""Starts and ends a deployment of daemons and stand-ins as processes on loopback."""

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
from amaranthbay.utils.http import exchange_whole
from amaranthbay.utils.testing import free_port, wait_until

__all__ = [
    "Deployment",
    "Process",
    "call_json",
    "small_configuration",
    "start_small_deployment",
]

REGION = "region-1"
ZONES = ("zone-a", "zone-b")
# A process that still runs this long after SIGTERM is killed.
STOP_TIMEOUT_S = 10


def call_json(address, method, path, value=None):
    """Sends a JSON request and returns the decoded reply, whatever its status.

    Args:
        address: ``host:port`` of the server.
        method: HTTP method.
        path: Path and query.
        value: Value to send as JSON; None sends no body.

    Raises:
        OSError: If there is no reply.
        msgspec.DecodeError: If the reply is not JSON.
    """
    body = b"" if value is None else msgspec.json.encode(value)
    result = exchange_whole(address, method, path, body, timeout_s=5.0)
    if result.is_err():
        raise OSError(result.unwrap_err().detail)
    return msgspec.json.decode(result.unwrap()[1])


@dataclass
class Process:
    """One started process and its entry in the instance list.

    Attributes:
        name: Name of the instance.
        popen: The running process.
        instance_entry: Entry in the platform's instance list.
        log_path: File that receives standard output and standard error.
    """

    name: str
    popen: subprocess.Popen
    instance_entry: Instance | None = None
    log_path: Path | None = None

    @property
    def address(self):
        """``host:port`` for callers of a daemon, or of the server's HTTP interface."""
        return self.instance_entry.address

    def signal(self, signum):
        """Sends a signal."""
        self.popen.send_signal(signum)

    def kill(self):
        """Kills the process and waits for its end."""
        self.popen.kill()
        self.popen.wait()

    def log_lines(self):
        """Returns the decoded JSON lines of the log, without its other lines.

        A last line that the process is still writing is left out.
        """
        lines = self.log_path.read_text().splitlines(keepends=True)
        return [
            msgspec.json.decode(line)
            for line in lines
            if line.startswith("{") and line.endswith("\n")
        ]


@dataclass
class Deployment:
    """A platform, backend servers and daemons, as processes on loopback.

    Entering the context starts the platform; leaving it ends all processes.

    Attributes:
        folder: Temporary folder with the settings, the key and the logs.
        platform: `Process` of the platform stand-in.
        unpack_folder: Folder into which the one-file program unpacks itself; empty if
            the daemons run from the source.
        backend_servers: `Process` of each backend server by name.
        daemons: `Process` of each daemon by name.
        leaving_instances: Names of the instances that `publish` lists as leaving.
        daemon_command: Command that runs the one-file program; if empty, the daemons
            run from the source.
        unpack_parent: Folder in which ``unpack_folder`` is created; None for the
            system's temporary folder.
        key: Key that the daemons share.
    """

    folder: Path = None
    platform: Process = None
    unpack_folder: str = ""
    _start_jobs: list = field(default_factory=list)
    _popens: list = field(default_factory=list)
    backend_servers: dict = field(default_factory=dict)
    daemons: dict = field(default_factory=dict)
    leaving_instances: set = field(default_factory=set)
    daemon_command: tuple = ()
    unpack_parent: Path = None
    key: str = "key-of-a-deployment-on-loopback"
    _stack: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)

    def __enter__(self):
        try:
            return self._set_up()
        except BaseException:
            # Without this, an interrupted start would leave processes behind.
            self.__exit__()
            raise

    def _set_up(self):
        if self.daemon_command:
            self.unpack_folder = self._create_unpack_folder()
        self.daemon_command = self.daemon_command or (
            sys.executable,
            "-m",
            "amaranthbay",
        )
        folder = tempfile.TemporaryDirectory(prefix="amaranthbay-")
        self.folder = Path(self._stack.enter_context(folder))
        address = f"127.0.0.1:{free_port()}"
        entry = Instance("platform", "platform", ZONES[0], "live", address)
        command = [*_standin_command("platform"), address]
        self.platform = self._start("platform", command, entry)
        wait_until(lambda: _responds_ok(address, "/instances"))
        return self

    def __exit__(self, *exc_info):
        gevent.joinall(self._start_jobs)
        running = [popen for popen in self._popens if popen.poll() is None]
        for popen in running:
            # A process that a test has stopped handles no SIGTERM until it continues.
            popen.send_signal(signal.SIGCONT)
            popen.send_signal(signal.SIGTERM)
        for popen in running:
            try:
                popen.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                popen.kill()
                popen.wait()
        self._stack.close()

    @property
    def key_path(self):
        """File that holds the key that the daemons share."""
        return self.folder / "peers.key"

    def processes(self):
        """Returns all processes that were started, daemons first."""
        started = [*self.daemons.values(), *self.backend_servers.values()]
        return [*started, self.platform] if self.platform else started

    def _create_unpack_folder(self):
        """Creates and returns the folder into which the one-file program unpacks."""
        parent = self.unpack_parent
        folder = tempfile.TemporaryDirectory(prefix="amaranthbay-", dir=parent)
        return self._stack.enter_context(folder)

    def _environment(self, is_daemon):
        """Returns the environment variables of a new process.

        A daemon of the one-file program gets no PYTHONPATH, so that it can import
        only the modules that the file contains.
        """
        environment = dict(os.environ)
        if is_daemon and self.unpack_folder:
            environment.pop("PYTHONPATH", None)
            return environment | {"SHIV_ROOT": self.unpack_folder}
        return environment | {"PYTHONPATH": str(Path(__file__).resolve().parents[2])}

    def _start(self, name, command, entry, is_daemon=False):
        """Starts a process that logs to a file of its own; returns its `Process`."""
        log_path = self.folder / f"{name}.log"
        log = self._stack.enter_context(open(log_path, "ab"))
        environment = self._environment(is_daemon)
        # The start runs in a greenlet of its own, so that an exception raised in this
        # one can't occur after a process is started and before it is added to the list
        # of processes to end.
        job = gevent.spawn(self._spawn, command, log, environment)
        self._start_jobs.append(job)
        popen = job.get()
        return Process(name, popen, entry, log_path)

    def _spawn(self, command, log, environment):
        popen = subprocess.Popen(command, stdout=log, stderr=log, env=environment)
        self._popens.append(popen)
        return popen

    def start_engine(self, name, role, zone=ZONES[0], *options):
        """Starts an engine stand-in and returns its `Process`.

        Args:
            name: Name of the instance.
            role: ``prefill`` or ``decode``; also the name of the pool.
            zone: Availability zone.
            *options: Further arguments of the stand-in's command line.
        """
        address = f"127.0.0.1:{free_port()}"
        entry = Instance(name, "backend", zone, "live", address, REGION, role, role)
        command = [*_standin_command("engine"), address, "--role", role, *options]
        self.backend_servers[name] = self._start(name, command, entry)
        return self.backend_servers[name]

    def start_ledger(self, name="ledger-1", zone=ZONES[0]):
        """Starts a ledger, the stand-in for a plain service; returns its `Process`."""
        address = f"127.0.0.1:{free_port()}"
        entry = Instance(
            name, "backend", zone, "live", address, REGION, "ledger", "plain"
        )
        command = [*_standin_command("ledger"), address]
        self.backend_servers[name] = self._start(name, command, entry)
        return self.backend_servers[name]

    def start_daemon(self, name, zone=ZONES[0], extra_settings=""):
        """Starts a daemon and returns its `Process`.

        Args:
            name: Name of the instance.
            zone: Availability zone.
            extra_settings: Further settings as TOML, inserted before the first table of
                the settings file.
        """
        ports = [free_port(), free_port(), free_port()]
        caller_address, membership_address, peer_address = (
            f"127.0.0.1:{port}" for port in ports
        )
        self._write_key()
        settings_path = self.folder / f"{name}.toml"
        settings_path.write_text(
            f'instance = "{name}"\n'
            f'availability_zone = "{zone}"\n'
            f'region = "{REGION}"\n'
            f'caller_address = "{caller_address}"\n'
            f'membership_address = "{membership_address}"\n'
            f'peer_address = "{peer_address}"\n'
            f'platform_address = "{self.platform.address}"\n'
            f"{extra_settings}\n"
            f'[[keys]]\nid = "peers"\nfile = "{self.key_path}"\n'
        )
        entry = Instance(
            instance=name,
            kind="entry",
            availability_zone=zone,
            state="live",
            address=caller_address,
            region=REGION,
            membership_address=membership_address,
            peer_address=peer_address,
        )
        return self._launch_daemon(entry)

    def _write_key(self):
        """Replaces the key file as a whole, as daemons that start read it meanwhile."""
        new_path = self.key_path.with_suffix(".new")
        new_path.write_text(self.key)
        new_path.replace(self.key_path)

    def restart_daemon(self, name):
        """Kills a daemon and starts it again with the same addresses."""
        self.daemons[name].kill()
        return self._launch_daemon(self.daemons[name].instance_entry)

    def _launch_daemon(self, entry):
        """Starts a daemon whose settings file is written."""
        name = entry.instance
        settings_path = self.folder / f"{name}.toml"
        command = [*self.daemon_command, "daemon", "--settings", str(settings_path)]
        self.daemons[name] = self._start(name, command, entry, is_daemon=True)
        return self.daemons[name]

    def publish(self):
        """Sets the instance list to the running daemons and backend servers."""
        processes = [*self.daemons.values(), *self.backend_servers.values()]
        entries = [
            replace(
                process.instance_entry,
                state="leaving" if process.name in self.leaving_instances else "live",
            )
            for process in processes
            if process.popen.poll() is None
        ]
        call_json(self.platform.address, "POST", "/control/instances", entries)

    def accept(self, cfg=None, operator="tester"):
        """Accepts a configuration and returns what `accept_configuration` returns.

        Args:
            cfg: `Configuration`; None for `small_configuration`.
            operator: Name of the operator who accepts it.
        """
        table = HttpTableService(self.platform.address)
        objects = HttpObjectStore(self.platform.address)
        return accept_configuration(
            table, objects, cfg or small_configuration(), operator
        )

    def status(self, name):
        """Returns a daemon's decoded status; raises OSError if it doesn't answer."""
        return call_json(self.daemons[name].address, "GET", "/v1/status")

    def wait_ready(self, version=1):
        """Waits until all daemons and backend servers are ready.

        Args:
            version: Lowest version of the configuration that each daemon must have.

        Raises:
            RuntimeError: If a daemon has exited, or another process replies on its
                port.
            TimeoutError: If a process isn't ready in time.
        """
        for process in self.backend_servers.values():
            wait_until(lambda: _responds(process.address))
        for name in self.daemons:
            wait_until(lambda: self._is_ready(name, version))

    def _is_ready(self, name, version):
        """Returns whether a daemon has the version and knows all other daemons."""
        process = self.daemons[name]
        if process.popen.poll() is not None:
            raise RuntimeError(
                f"{name} exited before it was ready: {process.log_path.read_text()}"
            )
        try:
            status = self.status(name)
        except OSError:
            return False
        if "members" not in status:
            # Another process may have taken the port; its reply shows which one.
            raise RuntimeError(
                f"{name} at {process.address} sent a reply without members: {status}"
            )
        knows_all = len(status["members"]) >= len(self.daemons)
        return status["config_version"] >= version and knows_all

    def attempts_in_memory(self):
        """Returns the ids of the attempts that hold memory on a running engine."""
        attempt_ids = []
        for process in self.backend_servers.values():
            if process.instance_entry.role != "plain" and process.popen.poll() is None:
                reply = call_json(process.address, "GET", "/control/held")
                attempt_ids.extend(reply["held"])
        return attempt_ids


def start_small_deployment(deployment, daemons=3, scale=0.2, cfg=None):
    """Starts two engines of each role, a ledger and daemons in two zones.

    Args:
        deployment: `Deployment` to start them in.
        daemons: Number of daemons.
        scale: Factor on the engines' times.
        cfg: `Configuration` to accept; None for `small_configuration`.

    Returns:
        The deployment, once all processes are ready.
    """
    for number, zone in enumerate(ZONES, 1):
        scale_option = ("--scale", str(scale))
        deployment.start_engine(f"prefill-{number}", "prefill", zone, *scale_option)
        deployment.start_engine(f"decode-{number}", "decode", zone, *scale_option)
    deployment.start_ledger()
    for number in range(1, daemons + 1):
        deployment.start_daemon(f"entry-{number}", ZONES[number % len(ZONES)])
    deployment.publish()
    deployment.accept(cfg)
    deployment.wait_ready()
    return deployment


def _standin_command(kind):
    return [sys.executable, "-m", "amaranthbay.standins", kind]


def _responds_ok(address, path):
    """Returns whether a GET request is answered with status 200."""
    result = exchange_whole(address, "GET", path, timeout_s=1.0)
    return result.is_ok() and result.unwrap()[0] == 200


def _responds(address):
    """Returns whether a GET request is answered with any status."""
    result = exchange_whole(address, "GET", "/", timeout_s=1.0)
    return result.is_ok()
