"""The deployment of a soak run: processes, store, backend servers and links."""

import random
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import gevent
import msgspec

from amaranthbay.platform.tests.fixtures import (
    configuration,
    route,
    server_entry,
)
from amaranthbay.platform.tests.soak.keys import RunKeys
from amaranthbay.platform.tests.soak.links import Link
from amaranthbay.platform.tests.soak.processes import (
    GRACE_S,
    RESTART_DELAY_S,
    EntryProcess,
)
from amaranthbay.platform.tests.soak.servers import SoakServer
from amaranthbay.platform.tests.standins import StoreStandin, serve_http
from amaranthbay.utils.testing import free_port, free_port_pair

__all__ = [
    "DRAIN_S",
    "MODEL_PLACES",
    "SERVERS",
    "SPARE_PLACES",
    "VERSIONS",
    "ZONES",
    "ConfigurationVersion",
    "Deployment",
    "InjectedFault",
]

ZONES = {"zone-a": "region-1", "zone-b": "region-1"}
# Settings of the processes, which the checks of a run also use.
MEMORY_MB = 150
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10
RETRY_ALLOWANCE = 20
DRAIN_S = 2.0  # DrainMs
# Time for which a crashed server is down, and in which the crash may have effects after
# that.
MIN_DOWN_S, MAX_DOWN_S = 1.0, 2.0
CRASH_SETTLE_S = 1.5

# Service and stage of the server at each place. A place is a fixed address at which
# one server after another runs.
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
MODEL_PLACES = tuple(place for place, (_, stage) in SERVERS.items() if stage)
# Stages of the servers at places that are used during a release only.
SPARE_PLACES = {"pre-3": "prefill", "dec-3": "decode", "dec-4": "decode"}
# Software versions of servers; those of plain servers don't change.
VERSIONS = ("v1", "v1.1", "v2")
FIRST_VERSION = "v1.1"


@dataclass(frozen=True)
class InjectedFault:
    """A fault that was injected.

    Attributes:
        target: Name of a process or place, or ``store`` or ``configuration``.
        kind: Name of the class of the fault.
        started_at: Monotonic time of its start.
        ended_at: Monotonic time after which it has no effects.
    """

    target: str
    kind: str
    started_at: float
    ended_at: float


@dataclass(frozen=True)
class ConfigurationVersion:
    """A configuration that was written.

    Attributes:
        number: Version number of the configuration.
        service: Service to which the route ``move`` leads.
        written_at: Monotonic time at which the store acknowledged the write.
        keys: Name of the workspace by key; None without workspaces.
    """

    number: int
    service: str
    written_at: float
    keys: dict | None = None


class Deployment:
    """A deployment on loopback; a context manager that starts and ends it.

    Attributes:
        rng: `random.Random` of the run.
        store: The `StoreStandin`.
        servers: Current `SoakServer` of each place.
        links: `Link` to the server at each place.
        processes: `EntryProcess` by name.
        injected_faults: `InjectedFault` of each fault that has ended.
        software: Software version of the newest release of the model servers.
        versions: `ConfigurationVersion` of each configuration, in order of writing.
        leaving_since: Monotonic time at which the store acknowledged that a server
            leaves, by name of the server.
        peaks_mb: Peak memory of each process.
        stalls: Each `Stall` of a process.
        request_crashed_at: Monotonic time of each crash by the crashing request.
        crashing_attempts: Process to which the crashing request was sent, by attempt.
        former_servers: Each `SoakServer` that has been replaced at its place.
        sends_crashing_part: Whether callers send requests that crash decode servers.
        crashed_at: Monotonic time of each crash of a decode server.
        played: Number of times that each kind of fault with an own generator was
            played, by what was counted.
        keys: `RunKeys` of the run.
    """

    def __init__(self, seed, processes=3, folder=None):
        """Creates the deployment; entering it starts it.

        Args:
            seed: Seed of all random choices.
            processes: Number of entry processes.
            folder: Folder for boot files and logs; a temporary one if None.
        """
        self.rng = random.Random(seed)
        self.store = StoreStandin(era=1)
        self.servers = {}
        self.links = {}
        self.processes = {}
        self.injected_faults = []
        self.software = FIRST_VERSION
        self.versions = []
        self.leaving_since = {}
        self.peaks_mb = {}
        self.stalls = []
        self.request_crashed_at = []
        self.crashing_attempts = {}
        self.former_servers = []
        self.sends_crashing_part = False
        self.crashed_at = []
        self.played = Counter()
        self.keys = RunKeys(seed, self.played)
        self._seed = seed
        self._crash_jobs = []
        self._process_count = processes
        self._folder = folder
        self._stack = ExitStack()
        self._servers_started = 0
        self._servers_released = 0
        # Rows as their writers last wrote them; a restore of the store changes none.
        self._intended_rows = {}

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
                self.start_server(place, *SERVERS[place])
            for number in range(1, self._process_count + 1):
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
        """Writes the next configuration; its route ``move`` leads to a service."""
        number = len(self.versions) + 1
        document = configuration(number)
        document["Routes"].append(route("move", "/move/", "safe", service))
        for route_fields in document["Routes"]:
            route_fields["TimeoutMs"] = 2000
        document["Services"].append({"Name": "other", "MaxConnections": 50})
        keys = self.keys.next_keys()
        if keys is not None:
            document["Tenants"] = [
                self.keys.tenant(name, keys) for name in sorted(set(keys.values()))
            ]
        self._write("op", "config", document)
        self.versions.append(
            ConfigurationVersion(number, service, time.monotonic(), keys)
        )

    def _open_place(self, place):
        address = self._stack.enter_context(
            serve_http(lambda req: self.servers[place].answer(req))
        )
        self.links[place] = Link(address)
        self._stack.callback(self.links[place].close)

    def start_server(self, place, service, stage):
        """Starts a server under a new name at a place and writes its entry.

        It has the software version of the one before it.
        """
        self._servers_started += 1
        name = f"{place}-{self._servers_started}"
        rng = random.Random(self.rng.random())
        self._start_server(place, name, service, stage, rng)

    def release_server(self, place, software):
        """Starts a model server of a software version, as `start_server` does.

        Args:
            place: One of the `MODEL_PLACES` or `SPARE_PLACES`.
            software: Software version of the server.
        """
        if place not in self.links:
            self._open_place(place)
        # Names and generators of their own keep those of other servers as they were.
        self._servers_released += 1
        name = f"{place}-r{self._servers_released}"
        stage = SPARE_PLACES.get(place) or SERVERS[place][1]
        rng = random.Random(f"release {self._seed} {name}")
        self._start_server(place, name, "lm", stage, rng, software)

    def _start_server(self, place, name, service, stage, rng, software=None):
        former = self.servers.get(place)
        if software is None:
            software = former.software if former else FIRST_VERSION
        server = SoakServer(
            name,
            stage=stage,
            service=service,
            software=software,
            started_at=time.monotonic(),
            rng=rng,
            own_rng=random.Random(f"{self._seed} {name}"),
            played=self.played,
            crash=lambda server, times=self.crashed_at: self._spawn_crash(
                place, server, times
            ),
            request_crashed_at=self.request_crashed_at,
        )
        if former is not None:
            self.former_servers.append(former)
        self.servers[place] = server
        self._write_entry(place)

    def _write_entry(self, place, state="ready"):
        server = self.servers[place]
        address = self.links[place].address
        entry = server_entry(
            server.service, address, server.stage, state, Version=server.software
        )
        self._write("servers", server.name, entry)

    def _spawn_crash(self, place, server, times):
        if not server.crashed:
            server.crashed = True
            self._crash_jobs.append(gevent.spawn(self._crash, place, server, times))

    def _crash(self, place, server, times):
        """Crashes a server; after a while it is back under a new name.

        Args:
            place: Place of the server.
            server: The `SoakServer`.
            times: List that gets the monotonic time of the crash.
        """
        started_at = time.monotonic()
        times.append(started_at)
        self.played["crashes"] += 1
        self.links[place].go_down()
        gevent.sleep(server.own_rng.uniform(MIN_DOWN_S, MAX_DOWN_S))
        self.links[place].come_up()
        # Another fault may have started a server at the place in the meantime.
        if self.servers[place] is server:
            self.start_server(place, server.service, server.stage)
        self.remove_entry(server.name)
        self.record_fault(place, "CrashingPart", started_at, CRASH_SETTLE_S)

    def join_crashes(self):
        """Waits until each server that has crashed is back."""
        gevent.joinall(self._crash_jobs, raise_error=True)

    def drain_server(self, place):
        """Marks the entry of the server at a place as draining."""
        self._write_entry(place, "draining")
        self.leaving_since[self.servers[place].name] = time.monotonic()

    def remove_server(self, place):
        """Removes the entry of the server at a place; the server itself stays up."""
        self.remove_entry(self.servers[place].name)

    def remove_entry(self, name):
        """Removes the entry of a server by name."""
        self.leaving_since.setdefault(name, time.monotonic())
        self._remove("servers", name)

    def write_odd_entry(self, name, value):
        """Writes an entry that no server has written.

        Args:
            name: Key of the entry.
            value: Its bytes.
        """
        self.played["odd entries"] += 1
        self._write("servers", name, value)

    def _write(self, table, key, value):
        self._intended_rows[table, key] = value
        self.store.put(table, key, value)

    def _remove(self, table, key):
        self._intended_rows.pop((table, key), None)
        if (table, key) in self.store.rows:
            self.store.remove(table, key)

    def restore_store(self, copy, pause_s):
        """Restores a copy of the store; after a pause all writers write again.

        They write in random order.

        Args:
            copy: `StoreCopy` to restore.
            pause_s: Seconds until the operator and the servers write again.
        """
        self.store.restore(copy)
        gevent.sleep(pause_s)
        keys = [*self._intended_rows, *self.store.rows]
        for table, key in sorted(set(keys), key=lambda row_key: self.rng.random()):
            if (table, key) in self._intended_rows:
                self.store.put(table, key, self._intended_rows[table, key])
            elif table == "servers" and (table, key) in self.store.rows:
                # A server that is gone sends no heartbeats, so its entry is removed.
                self.store.remove(table, key)

    def _create_process(self, name, zone):
        ports = {key: free_port() for key in ("Front", "Ready", "Directory")}
        front = f"127.0.0.1:{ports['Front']}"
        process = EntryProcess(
            name,
            self._folder / f"{name}.toml",
            self._folder / f"{name}.log",
            Link(front),
            Link(self._store_address),
            f"127.0.0.1:{ports['Directory']}",
        )
        for link in (process.caller_link, process.store_link):
            self._stack.callback(link.close)
        self._write_boot(process, zone, ports)
        self.processes[name] = process
        process.start()

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
            f"[Bounds]\nGraceS = {GRACE_S}\nRetryBudgetRatio = {RETRY_RATIO}\n"
            f"BudgetWindowS = {RETRY_WINDOW_S}\nBudgetSlack = {RETRY_ALLOWANCE}\n"
            f'[Platform]\nAddress = "{process.store_link.address}"\n'
        )

    def supervise(self):
        """Restarts processes that ended without a fault; runs until it is killed."""
        while True:
            for process in self.processes.values():
                code = process.popen.poll()
                if code is None or process.restarted_by_fault:
                    continue
                if process.has_started():
                    process.exit_codes.append(code)
                process.start()
            gevent.sleep(RESTART_DELAY_S)

    def record_fault(self, target, kind, started_at, settle_s):
        """Records a fault that has just ended.

        Args:
            target: Name of a process or place, or ``store`` or ``configuration``.
            kind: Name of the class of the fault.
            started_at: Monotonic time of its start.
            settle_s: Seconds from now for which it may still have effects.
        """
        ended_at = time.monotonic() + settle_s
        self.injected_faults.append(InjectedFault(target, kind, started_at, ended_at))

    def had_fault(self, target, start, end, ignored_kinds=()):
        """Returns whether a fault of a target overlaps an interval.

        Args:
            target: Name of a process or place, or ``store`` or ``configuration``.
            start: Monotonic time of the start of the interval.
            end: Monotonic time of its end.
            ignored_kinds: Kinds of faults that don't count.
        """
        return any(
            fault.target == target
            and fault.kind not in ignored_kinds
            and fault.started_at <= end
            and fault.ended_at >= start
            for fault in self.injected_faults
        )

    def all_servers(self):
        """Returns each `SoakServer`, replaced ones included."""
        return [*self.servers.values(), *self.former_servers]

    def notices(self):
        """Returns each `Notice` of all servers."""
        return [notice for server in self.all_servers() for notice in server.notices]

    def named_limits(self):
        """Returns each `NamedLimit` of all servers."""
        return [named for server in self.all_servers() for named in server.named_limits]

    def arrivals(self):
        """Returns each `Arrival` at all servers."""
        return [arrival for server in self.all_servers() for arrival in server.arrivals]

    def log_lines(self, name):
        """Returns the decoded JSON log lines of a process, and all other lines."""
        decoded, other_lines = [], []
        for line in self.processes[name].log_path.read_text().splitlines():
            try:
                decoded.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                other_lines.append(line)
        return decoded, other_lines
