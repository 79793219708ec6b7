"""Processes, store, backend servers and links of one soak run."""

import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import msgspec

from amaranthbay.platform.boot import BOOT_PATH_VARIABLE
from amaranthbay.platform.tests.fleet import (
    configuration,
    route,
    server_entry,
)
from amaranthbay.platform.tests.soak.links import Link
from amaranthbay.platform.tests.soak.servers import SoakServer
from amaranthbay.platform.tests.standins import StoreStandin, serve_http
from amaranthbay.utils.testing import free_port, free_port_pair

__all__ = ["SERVERS", "ZONES", "Disturbance", "Version", "World"]

ROOT = Path(__file__).resolve().parents[4]
ZONES = {"zone-a": "region-1", "zone-b": "region-1"}
# Settings of the processes; the promises are checked against these.
GRACE_S = 4.0
MEMORY_MB = 150
REPEAT_RATIO = 0.2
REPEAT_WINDOW_S = 10
REPEAT_ALLOWANCE = 20
RESTART_S = 0.3
EXIT_BOUND_S = GRACE_S + 2.0

SERVERS = {
    "desk-1": ("desk", None),
    "desk-2": ("desk", None),
    "desk-3": ("desk", None),
    "other-1": ("other", None),
    "other-2": ("other", None),
    "pre-1": ("lm", "prefill"),
    "pre-2": ("lm", "prefill"),
    "dec-1": ("lm", "decode"),
    "dec-2": ("lm", "decode"),
}


@dataclass(frozen=True)
class Disturbance:
    """A fault as it was brought about.

    Attributes:
        target: Name of a process, server or ``store``.
        form: What was done.
        start: Monotonic time of its start.
        end: Monotonic time from which nothing of it is left.
    """

    target: str
    form: str
    start: float
    end: float


@dataclass(frozen=True)
class Version:
    """A configuration that was written.

    Attributes:
        number: Its number.
        service: Service that the moving route leads to.
        at: Monotonic time of the write's acknowledgement.
    """

    number: int
    service: str
    at: float


@dataclass
class EntryProcess:
    """An entry process, its links and its boot file.

    Attributes:
        name: Name of its instance.
        boot_path: Its settings file.
        log_path: Where its output goes.
        callers: Link of callers to it.
        store: Link of it to the store.
        lookup_address: Where it answers lookups.
        popen: The running process.
        log_start: Size of the log when it was started.
        controlled: Whether a fault ends it and starts it again.
        exits: Exit codes of processes that had begun to serve and were not killed.
    """

    name: str
    boot_path: Path
    log_path: Path
    callers: Link
    store: Link
    lookup_address: str
    popen: subprocess.Popen = None
    log_start: int = 0
    controlled: bool = False
    exits: list = field(default_factory=list)

    def has_started(self):
        """Returns whether the running process has logged that it serves."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_start)
            return b'"event":"started"' in log.read()


class World:
    """One deployment on loopback; a context manager.

    Attributes:
        store: `StoreStandin`.
        servers: `SoakServer` by the name of its place; a place keeps its address.
        links: `Link` towards each server, by place.
        processes: `EntryProcess` by name.
        disturbances: `Disturbance` of all faults.
        versions: `Version` of all configurations.
        leaving: Monotonic time at which the store acknowledged that a server leaves.
        peaks_mb: Peak memory of each process at the end of its run.
    """

    def __init__(self, seed, processes=3, folder=None):
        self.rng = random.Random(seed)
        self.store = StoreStandin(era=1)
        self.servers = {}
        self.links = {}
        self.processes = {}
        self.disturbances = []
        self.versions = []
        self.leaving = {}
        self.peaks_mb = {}
        self.retired = []
        self._count = processes
        self._folder = folder
        self._stack = ExitStack()
        self._incarnations = 0
        # Rows as their writers have them, whatever a restored store holds.
        self._written = {}

    def __enter__(self):
        try:
            if self._folder is None:
                folder = tempfile.TemporaryDirectory(prefix="amaranthbay-soak-")
                self._folder = self._stack.enter_context(folder)
            self._folder = Path(self._folder)
            self._store_address = self._stack.enter_context(
                serve_http(self.store.answer)
            )
            self.configure("desk")
            for place in SERVERS:
                self._open_place(place)
            for number in range(1, self._count + 1):
                self._create_process(f"entry-{number}", list(ZONES)[number % 2])
            return self
        except BaseException:
            self.__exit__()
            raise

    def __exit__(self, *exc_info):
        for process in self.processes.values():
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
        self._stack.close()

    def configure(self, service):
        """Writes the next configuration; the moving route leads to a service."""
        number = len(self.versions) + 1
        tree = configuration(number)
        tree["Routes"].append(route("move", "/move/", "safe", service))
        for each in tree["Routes"]:
            each["TimeoutMs"] = 2000
        tree["Services"].append({"Name": "other", "MaxConnections": 50})
        self._write("op", "config", tree)
        self.versions.append(Version(number, service, time.monotonic()))

    def _open_place(self, place):
        address = self._stack.enter_context(
            serve_http(lambda req: self.servers[place].answer(req))
        )
        self.links[place] = Link(address)
        self._stack.callback(self.links[place].close)
        self.start_server(place, *SERVERS[place])

    def start_server(self, place, service, stage):
        """Starts a server with a new name at a place and writes its entry."""
        self._incarnations += 1
        name = f"{place}-{self._incarnations}"
        server = SoakServer(
            name,
            stage=stage,
            service=service,
            rng=random.Random(self.rng.random()),
        )
        if place in self.servers:
            self.retired.append(self.servers[place])
        self.servers[place] = server
        self._write_entry(place)

    def _write_entry(self, place, state="ready"):
        server = self.servers[place]
        address = self.links[place].address
        entry = server_entry(server.service, address, server.stage, state)
        self._write("servers", server.name, entry)

    def drain_server(self, place):
        """Says that a server leaves."""
        self._write_entry(place, "draining")
        self.leaving[self.servers[place].name] = time.monotonic()

    def remove_server(self, place):
        """Drops a server's entry; its address stays open."""
        self.drop_entry(self.servers[place].name)

    def drop_entry(self, name):
        """Drops the entry of a server that has left its place."""
        self.leaving.setdefault(name, time.monotonic())
        self._remove("servers", name)

    def _write(self, table, key, value):
        self._written[table, key] = value
        self.store.put(table, key, value)

    def _remove(self, table, key):
        self._written.pop((table, key), None)
        if (table, key) in self.store.rows:
            self.store.remove(table, key)

    def restore_store(self, copy, pause_s):
        """Takes the store back to a copy; all writers write again after a pause.

        Args:
            copy: `StoreCopy`.
            pause_s: Longest time until the operator or a server writes again.
        """
        self.store.restore(copy)
        gevent.sleep(pause_s)
        keys = [*self._written, *self.store.rows]
        for table, key in sorted(set(keys), key=lambda each: self.rng.random()):
            if (table, key) in self._written:
                self.store.put(table, key, self._written[table, key])
            elif table == "servers" and (table, key) in self.store.rows:
                # A server that is gone is silent, so that its entry lapses.
                self.store.remove(table, key)

    def _create_process(self, name, zone):
        ports = {each: free_port() for each in ("Front", "Ready", "Directory")}
        front = f"127.0.0.1:{ports['Front']}"
        process = EntryProcess(
            name,
            self._folder / f"{name}.toml",
            self._folder / f"{name}.log",
            Link(front),
            Link(self._store_address),
            f"127.0.0.1:{ports['Directory']}",
        )
        for link in (process.callers, process.store):
            self._stack.callback(link.close)
        self._write_boot(process, zone, ports)
        self.processes[name] = process
        self.start(name)

    def _write_boot(self, process, zone, ports):
        listen = "\n".join(f'{key} = "127.0.0.1:{port}"' for key, port in ports.items())
        zones = "\n".join(f'{key} = "{value}"' for key, value in ZONES.items())
        internal = free_port_pair()
        process.boot_path.write_text(
            f'NodeName = "{process.name}"\nIp = "127.0.0.1"\n'
            f'Zone = "{zone}"\nRegion = "region-1"\n'
            f"InternalPorts = [{internal}, {internal + 1}]\n"
            f"[Zones]\n{zones}\n[Listen]\n{listen}\n"
            f"[Limits]\nMemoryMb = {MEMORY_MB}\nMaxFds = 4096\nLinkMbps = 1000.0\n"
            f"[Bounds]\nGraceS = {GRACE_S}\nRetryBudgetRatio = {REPEAT_RATIO}\n"
            f"BudgetWindowS = {REPEAT_WINDOW_S}\nBudgetSlack = {REPEAT_ALLOWANCE}\n"
            f'[Platform]\nAddress = "{process.store.address}"\n'
        )

    def start(self, name):
        """Starts a process, again if it has ended."""
        process = self.processes[name]
        environ = dict(os.environ) | {
            BOOT_PATH_VARIABLE: str(process.boot_path),
            "PYTHONPATH": str(ROOT),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = [sys.executable, "-m", "amaranthbay", "entry"]
        with open(process.log_path, "ab") as log:
            process.log_start = log.tell()
            process.popen = subprocess.Popen(
                command, stdout=log, stderr=log, env=environ
            )

    def supervise(self):
        """Starts processes again that have ended by themselves; runs for ever."""
        while True:
            for name, process in self.processes.items():
                code = process.popen.poll()
                if code is None or process.controlled:
                    continue
                if process.has_started():
                    process.exits.append(code)
                self.start(name)
            gevent.sleep(RESTART_S)

    def signal(self, name, signum):
        """Sends a signal to a process that still runs."""
        popen = self.processes[name].popen
        if popen.poll() is None:
            popen.send_signal(signum)

    def wait_exit(self, name, bound_s):
        """Waits for a process to end by itself; returns its code, or None."""
        popen = self.processes[name].popen
        end = time.monotonic() + bound_s
        while popen.poll() is None and time.monotonic() < end:
            gevent.sleep(0.02)
        return popen.poll()

    def kill_and_restart(self, name):
        """Kills a process and starts it again."""
        process = self.processes[name]
        process.controlled = True
        self.kill(name)
        gevent.sleep(RESTART_S)
        self.start(name)
        process.controlled = False

    def kill(self, name):
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self.wait_exit(name, EXIT_BOUND_S)

    def stop_and_restart(self, name):
        """Ends a process by SIGTERM and starts it again.

        Its exit code counts only if it had begun to serve: before that, the signal's
        default ends it, and no request is lost.
        """
        process = self.processes[name]
        process.controlled = True
        started = process.has_started()
        self.signal(name, signal.SIGTERM)
        code = self.wait_exit(name, EXIT_BOUND_S)
        if started:
            process.exits.append(code)
        if code is None:
            self.kill(name)
        gevent.sleep(RESTART_S)
        self.start(name)
        process.controlled = False

    def note(self, target, form, start, settle_s):
        """Notes a fault that has just ended.

        Args:
            target: Name of a process, server or ``store``.
            form: What was done.
            start: Monotonic time of its start.
            settle_s: Time for which its effects may be seen.
        """
        end = time.monotonic() + settle_s
        self.disturbances.append(Disturbance(target, form, start, end))

    def disturbed(self, target, start, end, without=()):
        """Returns whether a fault of the target overlaps an interval.

        Args:
            target: Name of a process, server or ``store``.
            start: Monotonic time of the interval's start.
            end: Monotonic time of its end.
            without: Forms that don't count.
        """
        return any(
            each.target == target
            and each.form not in without
            and each.start <= end
            and each.end >= start
            for each in self.disturbances
        )

    def statements(self):
        """Returns the `Statement` of all servers."""
        servers = [*self.servers.values(), *self.retired]
        return [each for server in servers for each in server.statements]

    def arrivals(self):
        """Returns the `Arrival` of all requests at all servers."""
        servers = [*self.servers.values(), *self.retired]
        return [each for server in servers for each in server.arrivals]

    def log_lines(self, name):
        """Returns the decoded log lines of a process, and the lines that are none."""
        found, other = [], []
        for line in self.processes[name].log_path.read_text().splitlines():
            try:
                found.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                other.append(line)
        return found, other

    def note_memory(self):
        """Notes the peak memory of the processes, which must run."""
        for name, process in self.processes.items():
            text = Path(f"/proc/{process.popen.pid}/status").read_text()
            self.peaks_mb[name] = int(text.split("VmHWM:")[1].split()[0]) / 1024
