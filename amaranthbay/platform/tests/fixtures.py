"""Fixtures: an entry daemon in this process, with stand-ins for the platform."""

import contextlib
import os
import random
import resource
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType

import gevent
import h11
import msgspec
from gevent import socket

from amaranthbay.daemon.entry import EntryDaemon
from amaranthbay.fleet.settings import EntrySettings, Limits
from amaranthbay.platform.adapter import PlatformAdapter
from amaranthbay.platform.tests.standins import (
    ServerStandin,
    StoreStandin,
    serve_http,
)
from amaranthbay.routing import Stage
from amaranthbay.utils.testing import free_port, free_port_pair, wait_until

__all__ = [
    "Answer",
    "EntryFixture",
    "EntryProcess",
    "call",
    "call_raw",
    "entry_fixture",
    "entry_process",
    "process_fixture",
    "read_answer",
]

ROOT = Path(__file__).resolve().parents[3]
HOST = "shop.example"
READ_BYTES = 65536
ANSWER_TIMEOUT_S = 10.0
# Memory limit of the smallest instances.
MEMORY_MB = 150
# Limit of file descriptors that the settings assume if they name none.
MAX_FDS = 1024
# State of a listening socket, whose queues count connections.
TCP_LISTEN = "0A"


BOOT_FILE = """
NodeName = "{name}"
Ip = "127.0.0.1"
Zone = "z"
Region = "r"
InternalPorts = [{peer}, {metrics}]
[Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
Directory = "127.0.0.1:{directory}"
[Platform]
Address = "{store}"
[Limits]
MemoryMb = {memory_mb}
MaxFds = {max_fds}
[Bounds]
GraceS = {grace}
"""


@dataclass(frozen=True)
class Answer:
    """An answer that a caller received.

    Attributes:
        status: HTTP status; None if the connection ended without an answer.
        headers: Values by lower-case name.
        body: Bytes of the body that arrived.
        complete: Whether the end of the body arrived.
        trailing: Bytes that arrived after a complete answer.
    """

    status: int | None
    headers: dict
    body: bytes
    complete: bool
    trailing: bytes = b""


def route(name, prefix, kind, service, **fields):
    """Returns a route of the operator's configuration, in wire format.

    Args:
        name: Name of the route.
        prefix: Prefix of its paths.
        kind: Kind of its calls: ``safe``, ``unsafe`` or ``streaming``.
        service: Name of the service that it leads to.
        **fields: Further fields, or other values of the default ones.
    """
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 200,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    } | fields


def configuration(version=1, **route_fields):
    """Returns an operator's configuration, in wire format.

    Calls of the route ``look`` are idempotent, those of ``book`` (one attempt) and
    ``pay`` (two attempts) are not. Calls of ``once`` (two attempts) and ``sum`` (one
    attempt) are streams, those of ``resume`` resumable streams.

    Args:
        version: Version of the configuration.
        **route_fields: Fields of the route ``look``, whose calls are idempotent.
    """
    stream = {"Sticky": True, "GapAimMs": 300, "TargetLatencyMs": 1000}
    return {
        "Version": version,
        "Routes": [
            route("look", "/look/", "safe", "desk", **route_fields),
            route("book", "/book/", "unsafe", "desk", MaxAttempts=1),
            route("pay", "/pay/", "unsafe", "desk"),
            route("once", "/once/", "streaming", "lm", **stream),
            route("sum", "/sum/", "streaming", "lm", MaxAttempts=1, **stream),
            route("resume", "/resume/", "streaming", "lm", Resumable=True, **stream),
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/health", "MaxConnections": 50},
            {
                "Name": "lm",
                "MaxConnections": 50,
                "Engine": {
                    "Slots": 8,
                    "KvCapacity": 10000,
                    "KvTokenBytes": 100,
                    "LinkMbps": 1000.0,
                    "KvHoldS": 0.5,
                    "RoleSwitchS": 6.0,
                    "HoldMs": 2000.0,
                },
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 20000,
            "HeaderTimeoutMs": 500,
            "IdleTimeoutMs": 2000,
        },
    }


def server_entry(service, address, stage=None, state="ready", **fields):
    """Returns the entry with which a backend server registers, in wire format.

    Args:
        service: Name of its service.
        address: Its host and port.
        stage: ``prefill`` or ``decode``; None for a plain server.
        state: ``ready`` or ``draining``.
        **fields: Further fields, or other values of the default ones.
    """
    entry = {
        "Service": service,
        "Address": address,
        "Zone": "zone-a",
        "Version": "v1",
        "Slots": 8,
        "State": state,
        "ColdRemainingMs": 0,
        "Sequence": 1,
    }
    return entry | ({"Stage": stage} if stage else {}) | fields


@dataclass
class EntryFixture:
    """One daemon with its store and backend servers.

    Attributes:
        store: The store, in which a test may inject faults.
        store_address: Address of the store.
        daemon: The `EntryDaemon`.
        servers: `ServerStandin` by name.
        addresses: Address of each server by name.
    """

    store: StoreStandin
    store_address: str = ""
    daemon: EntryDaemon = None
    servers: dict = field(default_factory=dict)
    addresses: dict = field(default_factory=dict)

    @property
    def address(self):
        return self.daemon.settings.caller_address

    def write_entry(
        self, name, service, stage=None, state="ready", address=None, **fields
    ):
        """Writes the entry of a server; see `server_entry` for the arguments."""
        address = address or self.addresses[name]
        entry = server_entry(service, address, stage, state, **fields)
        self.store.put("servers", name, entry)

    def start_daemon(self):
        """Starts a new daemon, which knows nothing of an earlier one."""
        self.daemon = EntryDaemon(
            make_settings(self.store_address), PlatformAdapter(), rng=random.Random(1)
        )
        self.daemon.start()

    def restart_daemon(self):
        """Ends the daemon as a kill does, and waits until a new one is ready."""
        count = len(self.daemon.backends.usable("lm"))
        self.daemon.close()
        self.start_daemon()
        self.wait_for_servers("lm", count)
        wait_until(self.daemon.is_ready)

    def usable_decode(self):
        """Returns the names of the decode servers that the daemon can use."""
        servers = self.daemon.backends.usable("lm", Stage.DECODE)
        return [server.name for server in servers]

    def wait_for_servers(self, service, count, stage=None):
        """Waits until the daemon can use ``count`` servers of a service."""
        wait_until(lambda: len(self.daemon.backends.usable(service, stage)) == count)


@contextlib.contextmanager
def process_fixture(
    plain=("desk-1",), prefill=("pre-1",), decode=("dec-1",), config=None, **limits
):
    """Runs the program as its own process, with a store and servers in this one.

    Args:
        plain: Names of plain servers.
        prefill: Names of prefill servers.
        decode: Names of decode servers.
        config: Configuration in wire format; `configuration` if None.
        **limits: Limits of the instance, see `entry_process`.

    Yields:
        The `EntryProcess`, the `StoreStandin` and the `ServerStandin` by name.
    """
    with contextlib.ExitStack() as stack:
        store, servers = StoreStandin(), {}
        store_address = stack.enter_context(serve_http(store.answer))
        store.put("op", "config", config or configuration())
        stages = [(plain, "desk", None), (prefill, "lm", "prefill")]
        for names, service, stage in [*stages, (decode, "lm", "decode")]:
            for name in names:
                servers[name] = ServerStandin(name, stage=stage)
                address = stack.enter_context(serve_http(servers[name].answer))
                entry = server_entry(service, address, stage)
                store.put("servers", name, entry)
        process = stack.enter_context(entry_process(store_address, **limits))
        yield process, store, servers


def make_settings(store_address, instance="entry-1", lookup=True):
    """Returns the `EntrySettings` of a daemon on loopback.

    Args:
        store_address: Host and port of the store.
        instance: Name of the instance.
        lookup: Whether it answers lookups.
    """
    return EntrySettings(
        instance=instance,
        ip="127.0.0.1",
        availability_zone="zone-a",
        region="region-1",
        caller_address=f"127.0.0.1:{free_port()}",
        ready_address=f"127.0.0.1:{free_port()}",
        lookup_address=f"127.0.0.1:{free_port()}" if lookup else "",
        peer_port=free_port(),
        metrics_port=free_port(),
        store_address=store_address,
        limits=Limits(),
        configuration_s=2.0,
        drain_s=2.0,
        stop_s=4.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_allowance=10.0,
        order_turn_s=3.0,
        lookup_ttl_s=5.0,
    )


@contextlib.contextmanager
def entry_fixture(
    plain=("desk-1",),
    prefill=("pre-1",),
    decode=("dec-1",),
    versions=MappingProxyType({}),
    **fields,
):
    """Runs a daemon with a store and servers; yields its `EntryFixture` when ready.

    Args:
        plain: Names of plain servers.
        prefill: Names of prefill servers.
        decode: Names of decode servers.
        versions: Software version by name of a server; the default is that of
            `server_entry`.
        **fields: Fields of the route ``look``, whose calls are idempotent.
    """
    with contextlib.ExitStack() as stack:
        fixture = EntryFixture(StoreStandin())
        fixture.store_address = stack.enter_context(serve_http(fixture.store.answer))
        fixture.store.put("op", "config", configuration(**fields))
        stages = [(plain, "desk", None), (prefill, "lm", "prefill")]
        for names, service, stage in [*stages, (decode, "lm", "decode")]:
            for name in names:
                server = ServerStandin(name, stage=stage)
                fixture.servers[name] = server
                address = stack.enter_context(serve_http(server.answer))
                fixture.addresses[name] = address
                version = versions.get(name, "v1")
                fixture.write_entry(name, service, stage, Version=version)
        fixture.start_daemon()
        stack.callback(lambda: fixture.daemon.close())
        fixture.wait_for_servers("desk", len(plain))
        fixture.wait_for_servers("lm", len(prefill) + len(decode))
        wait_until(fixture.daemon.is_ready)
        yield fixture


@dataclass(frozen=True)
class EntryProcess:
    """An entry process of the program, on loopback.

    Attributes:
        process: `subprocess.Popen` of it.
        address: Address to which callers connect.
        ready_address: Address at which its readiness is asked.
        lookup_address: Address at which callers look up instances.
        peer_address: UDP address for the reports of other instances.
        log_path: Path of its log.
    """

    process: subprocess.Popen
    address: str
    ready_address: str
    lookup_address: str
    peer_address: str
    log_path: Path

    def memory_mb(self):
        """Returns its resident memory in MiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
        return int(line.split()[1]) / 1024

    def peak_memory_mb(self):
        """Returns the largest resident memory in MiB since its start."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    def descriptors(self):
        """Returns the number of its open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def queued_mb(self):
        """Returns what the kernel holds for its sockets, in MiB.

        It consists of bytes that it hasn't read, and of bytes that its peers haven't
        taken. Connections count that it hasn't accepted, or has closed already.
        """
        inodes = self._socket_inodes()
        addresses = (self.address, self.ready_address, self.lookup_address)
        ports = {int(address.rpartition(":")[2]) for address in addresses}
        queued_bytes = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, _, _, _, _, inode, *_ = line.split()
            is_own = inode in inodes or (
                inode == "0" and int(local.rpartition(":")[2], 16) in ports
            )
            if is_own and state != TCP_LISTEN:
                queued_bytes += sum(int(each, 16) for each in queues.split(":"))
        return queued_bytes / 2**20

    def _socket_inodes(self):
        folder, inodes = Path(f"/proc/{self.process.pid}/fd"), set()
        for path in folder.iterdir():
            with contextlib.suppress(OSError):
                name = os.readlink(path)
                if name.startswith("socket:["):
                    inodes.add(name[8:-1])
        return inodes

    def events(self, name):
        """Returns the decoded lines of its log with an event."""
        return [line for line in self.log_lines() if line.get("event") == name]

    def log_lines(self):
        """Returns the decoded lines of its log, without one that is being written."""
        lines = self.log_path.read_bytes().split(b"\n")[:-1]
        return [msgspec.json.decode(line) for line in lines]


@contextlib.contextmanager
def entry_process(
    store_address, grace_s=3, memory_mb=MEMORY_MB, max_fds=MAX_FDS, name="n-1"
):
    """Runs the program as its own process; yields its `EntryProcess` when ready.

    Args:
        store_address: Host and port of the store.
        grace_s: Grace period in seconds.
        memory_mb: Memory limit of the instance in MiB.
        max_fds: Limit of its open file descriptors, which the system enforces.
        name: Name of the instance.
    """
    ports = {name: free_port() for name in ("front", "ready", "directory")}
    ports["peer"] = free_port_pair()
    ports["metrics"] = ports["peer"] + 1
    with TemporaryDirectory() as folder:
        boot_path, log_path = Path(folder) / "node.toml", Path(folder) / "log"
        boot_text = BOOT_FILE.format(
            name=name,
            store=store_address,
            grace=grace_s,
            memory_mb=memory_mb,
            max_fds=max_fds,
            **ports,
        )
        boot_path.write_text(boot_text)
        with open(log_path, "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "amaranthbay", "entry"],
                cwd=ROOT,
                env=os.environ | {"AMARANTHBAY_BOOT": str(boot_path)},
                stdout=log,
                stderr=log,
            )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max_fds, max_fds))
        try:
            _wait_until_ready(process, f"127.0.0.1:{ports['ready']}", log_path)
            yield EntryProcess(
                process,
                f"127.0.0.1:{ports['front']}",
                f"127.0.0.1:{ports['ready']}",
                f"127.0.0.1:{ports['directory']}",
                f"127.0.0.1:{ports['peer']}",
                log_path,
            )
        finally:
            process.kill()
            process.wait()


def _wait_until_ready(process, ready_address, log_path):
    try:
        wait_until(lambda: _status(ready_address) == 200)
    except TimeoutError as exc:
        log = log_path.read_text()
        raise AssertionError(f"not ready, exit {process.poll()}, log: {log}") from exc


def request(path, method="GET", body=b"", headers=(), host=HOST, attempt="a1"):
    """Returns the bytes of a caller's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines.append(f"X-Attempt-Id: {attempt}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def stream_request(path, attempt="a1", headers=()):
    """Returns the bytes of a request for a stream.

    Its prompt has 100 tokens, and the answer may have 40.
    """
    tokens = (("X-Token-Count", "100,40"), ("X-Prompt-Prefix", "1f:100"))
    return request(path, "POST", b"prompt", (*tokens, *headers), attempt=attempt)


def call(fixture, path, method="GET", body=b"", headers=(), **fields):
    """Sends a request on a new connection and returns the `Answer`."""
    return call_raw(fixture.address, request(path, method, body, headers, **fields))


def call_raw(address, raw_request):
    """Sends bytes on a new connection and returns the `Answer`."""
    with connect(address) as sock:
        sock.sendall(raw_request)
        return read_answer(sock)


def connect(address):
    """Returns a new connection to an address."""
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), ANSWER_TIMEOUT_S)
    sock.settimeout(ANSWER_TIMEOUT_S)
    return sock


def read_answer(sock, received=b""):
    """Reads one `Answer` from a connection.

    Args:
        sock: Socket to read from.
        received: Bytes that were received with the answer before; see
            `Answer.trailing`.
    """
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    status, headers, body = None, {}, b""
    if received:
        parser.receive_data(received)
    while True:
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(sock.recv(READ_BYTES))
                continue
        except (OSError, h11.RemoteProtocolError):
            return Answer(status, headers, body, False)
        if type(event) is h11.Response:
            status = event.status_code
            headers = {n.decode(): v.decode() for n, v in event.headers}
        elif type(event) is h11.Data:
            body += bytes(event.data)
        else:
            if type(event) is not h11.EndOfMessage:
                return Answer(status, headers, body, False)
            return Answer(status, headers, body, True, parser.trailing_data[0])


def spawn_call(fixture, *args, **kwargs):
    """Starts a `call` in a greenlet whose value is the `Answer`."""
    return gevent.spawn(call, fixture, *args, **kwargs)


def _status(address):
    try:
        with connect(address) as sock:
            sock.sendall(request("/ready", host="daemon"))
            return read_answer(sock).status
    except OSError:
        return None
