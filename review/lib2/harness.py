"""Small deployment on loopback for the scripts of this review.

Starts entry processes with the command of the deploy file, before the store of the
project's own tests and small backend servers. Everything runs on 127.0.0.1 with free
ports and in a temporary folder.
"""

import os
import signal
import socket as std_socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import gevent
import gevent.event
import h11
from gevent import socket
from gevent.server import StreamServer

from amaranthbay.platform.tests.standins import StoreStandin, serve_http

ROOT = Path(__file__).resolve().parents[2]
HOST = "ledger.example"
HEARTBEAT_S = 1.2
# Bounds of the small deployments, as in their sheets.
BOUNDS = {
    "ContactMs": 3000,
    "AckMs": 4000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 58,
    "RecoveryS": 12,
    "TransitMs": 120,
    "FencingRequired": True,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "ttl_max_s": 5,
}


def toml_value(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)


# Each script takes a block of ports, whose first one it keeps bound, so that scripts
# that run at the same time use other ports.
FIRST_PORT, BLOCK, BLOCKS = 20000, 200, 55


def _take_block():
    for attempt in range(BLOCKS):
        first = FIRST_PORT + BLOCK * ((os.getpid() + attempt) % BLOCKS)
        sock = std_socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
        try:
            sock.bind(("127.0.0.1", first))
            return sock, first + 1
        except OSError:
            sock.close()
    raise RuntimeError("no free block of ports")


_block_lock, _first = _take_block()
_next_port = [_first]


def free_ports(count):
    """Returns adjacent free ports below the range of outgoing connections."""
    while _next_port[0] < _first + BLOCK - 1 - count:
        first = _next_port[0]
        _next_port[0] += count
        socks = []
        try:
            for port in range(first, first + count):
                for kind in (std_socket.SOCK_STREAM, std_socket.SOCK_DGRAM):
                    sock = std_socket.socket(std_socket.AF_INET, kind)
                    socks.append(sock)
                    sock.bind(("127.0.0.1", port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise RuntimeError("no free ports")


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.started_at = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self.started_at
        self.file.write(f"{seconds:8.3f} s  {text}\n")
        self.file.flush()


class Entry:
    """One entry process."""

    def __init__(self, name, zone, store_address, folder, bounds, ports):
        self.name, self.folder = name, Path(folder)
        front, ready, directory, peer, _ = ports
        self.front, self.ready = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.directory = f"127.0.0.1:{directory}"
        self.boot = self.folder / f"{name}.toml"
        self.log = self.folder / f"{name}.log"
        self.popen = None
        lines = [
            f'NodeName = "{name}"',
            'Role = "entry"',
            'MachineClass = "front"',
            'Serves = ["front", "directory"]',
            'Ip = "127.0.0.1"',
            f'Zone = "{zone}"',
            'Region = "svealand"',
            f"InternalPorts = [{peer}, {peer + 1}]",
            "Bootstrap = true",
            'Discovery = "platform"',
            'Entry = "directory"',
            "HeartbeatMs = 1200",
            "[Listen]",
            f'Front = "{self.front}"',
            f'Ready = "{self.ready}"',
            f'Directory = "{self.directory}"',
            "[Limits]",
            "CpuShare = 0.537",
            "Cores = 2",
            "MemoryMb = 300",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "[Bounds]",
            *(f"{key} = {toml_value(value)}" for key, value in bounds.items()),
            "[Platform]",
            f'Address = "{store_address}"',
            'form = "table"',
            "WritesPerS = 400",
            "ReadsPerS = 2000",
            "TxMs = 5.0",
            "PartWritesS = 200",
            "HistoryS = 20",
        ]
        self.boot.write_text("\n".join(lines) + "\n")

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split(" ")
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["AMARANTHBAY_BOOT"] = str(self.boot)
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)

    def is_ready(self):
        try:
            return fetch(self.ready, "/ready")[0] == 200
        except OSError:
            return False

    def end(self):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


class Deployment:
    """Store, servers and entry processes; a context manager that ends all of them."""

    def __init__(self, record, zones, bounds=None, store=None):
        self.record = record
        self.store = store or StoreStandin()
        self.entries = []
        self._zones = zones
        self._bounds = BOUNDS | (bounds or {})
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._serving = []

    def __enter__(self):
        context = serve_http(self.store.answer)
        self.store_address = context.__enter__()
        self._serving.append(context)
        for number, zone in enumerate(self._zones, 1):
            self.add_entry(f"front-{zone}-{number}", zone)
        return self

    def add_entry(self, name, zone):
        entry = Entry(
            name, zone, self.store_address, self._folder.name, self._bounds, free_ports(5)
        )
        self.entries.append(entry)
        entry.start()
        return entry

    def __exit__(self, *exc_info):
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for entry in self.entries:
                Path(keep, entry.log.name).write_bytes(entry.log.read_bytes())
        for context in self._serving:
            context.__exit__(None, None, None)
        self._folder.cleanup()

    def wait_ready(self, seconds=25):
        ends_at = time.monotonic() + seconds
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > ends_at:
                logs = [entry.log.read_text()[-800:] for entry in self.entries]
                raise CannotRun(f"not ready: {logs}")
            gevent.sleep(0.1)


class CannotRun(Exception):
    """Raised if a case can't run, so that it says nothing of the rule."""


class Connection:
    """Server side of one HTTP connection."""

    def __init__(self, sock):
        self.sock = sock
        self.http = h11.Connection(h11.SERVER)

    def read(self):
        """Returns method, target, headers by lower-case name and body; None at the end."""
        head = self._event()
        if type(head) is not h11.Request:
            return None
        body, event = b"", self._event()
        while type(event) is h11.Data:
            body += bytes(event.data)
            event = self._event()
        headers = {name.decode(): value.decode() for name, value in head.headers}
        return head.method.decode(), head.target.decode(), headers, body

    def _event(self):
        while (event := self.http.next_event()) is h11.NEED_DATA:
            self.http.receive_data(self.sock.recv(65536))
        return event

    def answer(self, status, headers=(), body=b""):
        headers = [*headers, ("Content-Length", str(len(body)))]
        data = self.http.send(h11.Response(status_code=status, headers=headers))
        data += self.http.send(h11.Data(data=body)) if body else b""
        self.sock.sendall(data + self.http.send(h11.EndOfMessage()))

    def begin(self, status, headers=()):
        headers = [*headers, ("Transfer-Encoding", "chunked")]
        self.sock.sendall(self.http.send(h11.Response(status_code=status, headers=headers)))

    def part(self, data):
        self.sock.sendall(self.http.send(h11.Data(data=data)))

    def finish(self):
        self.sock.sendall(self.http.send(h11.EndOfMessage()))

    def next_cycle(self):
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True


class Worker:
    """A sound backend server; subclasses say what it does with a request."""

    def __init__(self, deployment, name, service, zone, stage=None, slots=64, port=None):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.service, self.zone, self.stage = name, service, zone, stage
        self.slots = slots
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.port = port or free_ports(1)[0]
        self.address = f"127.0.0.1:{self.port}"
        self.drained_at = None
        self.conns = set()
        self.arrivals = []
        self._server = None

    def listen(self):
        self._server = StreamServer(("127.0.0.1", self.port), self._serve)
        self._server.start()

    def entry(self):
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            entry["Stage"] = self.stage
            entry["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        return entry

    def register(self):
        """Writes the entry; returns the time at which the store has accepted it."""
        self.deployment.store.put("servers", self.name, self.entry())
        return time.monotonic()

    def start(self):
        self.listen()
        self.register()
        return self

    def drain(self):
        self.state = "draining"
        self.drained_at = self.register()
        self.record(f"the store has accepted that {self.name} is draining")

    def exit(self):
        self.record(f"{self.name} exits")
        self.stop()

    def stop(self):
        """Ends the worker; all its connections are reset."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None
        for sock in tuple(self.conns):
            reset(sock)

    def _serve(self, sock, _):
        sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        self.conns.add(sock)
        conn = Connection(sock)
        try:
            while (req := conn.read()) is not None:
                self._handle(conn, *req)
                if not conn.next_cycle():
                    return
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.conns.discard(sock)
            sock.close()

    def _handle(self, conn, method, target, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            conn.answer(421, [("X-Instance-Id", self.name)])
            return
        if self.control(conn, method, target, headers, body):
            return
        attempt = headers.get("x-attempt-id", "")
        prefill = headers.get("x-serving-stage") == "prefill"
        self.arrivals.append((time.monotonic(), attempt, prefill))
        what = "prompt of" if prefill else "request"
        self.record(f"{what} {attempt} ({method} {target}) reaches {self.name}")
        self.run(conn, method, target, headers, body)

    def control(self, conn, method, target, headers, body):
        """Answers a call of the system itself; returns whether it is one."""
        if target == "/report":
            text = (
                '{"Stage":"%s","Models":[],"Busy":false,"Sequence":0,"Waiting":0,"Running":0,'
                '"KvUsed":0,"KvTotal":42754,"KvHandles":0,"State":"%s"}'
            ) % (self.stage, self.state)
            conn.answer(200, [("Content-Type", "application/json")], text.encode())
        elif target == "/hold-take":
            conn.answer(200, [("Content-Type", "application/json")], b'{"Hold":"k%d"}' % time.monotonic_ns())
        elif target.startswith(("/hold-drop/", "/kv-handle/")):
            conn.answer(200)
        elif target == "/order":
            conn.answer(409)
        else:
            return False
        return True

    def run(self, conn, method, target, headers, body):
        raise NotImplementedError

    def stamps(self, headers):
        attempt = headers.get("x-attempt-id", "")
        return [
            ("X-Attempt-Id", attempt),
            ("X-Response-Stamp", f"{self.name}.{attempt}"),
        ]


def reset(sock):
    """Closes a connection with a reset."""
    try:
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
    except OSError:
        pass


def connect(address, timeout_s=1.0):
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    return sock


def request(method, target, headers=(), body=b"", host=HOST):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(sock, method="GET"):
    """Returns status (None without a head), headers, body and whether it is complete."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
    http.send(h11.EndOfMessage())
    status, headers, body = None, {}, b""
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(sock.recv(65536))
            elif type(event) is h11.Response:
                status = event.status_code
                headers = {name.decode(): value.decode() for name, value in event.headers}
            elif type(event) is h11.Data:
                body += bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                return status, headers, body, True
            elif type(event) is h11.ConnectionClosed:
                return status, headers, body, False
    except (OSError, h11.RemoteProtocolError):
        return status, headers, body, False


def fetch(address, target, method="GET", headers=(), body=b"", timeout_s=20.0, host=HOST):
    """Sends a request on a connection of its own and returns what `read_answer` does."""
    sock = connect(address)
    try:
        sock.settimeout(timeout_s)
        sock.sendall(request(method, target, headers, body, host))
        return read_answer(sock, method)
    finally:
        sock.close()


def run_case(folder, case):
    """Runs a case and ends the script with its exit code.

    Args:
        folder: Folder of the case.
        case: Function of the `Record` and of whether the disruption takes place, which
            returns a list of what broke the rule.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    # The processes of the case end with it, also if it is told to end.
    gevent.signal_handler(signal.SIGTERM, gevent.getcurrent().throw, CannotRun("told to end"))
    try:
        with gevent.Timeout(110):
            broken = case(record, trouble)
    except (Exception, gevent.Timeout) as exc:
        record(f"the case could not run: {type(exc).__name__}: {exc}")
        if os.environ.get("KEEP_LOGS"):
            raise
        sys.exit(2)
    for text in broken:
        record(f"BROKEN: {text}")
    record(f"the rule {'was broken' if broken else 'held'}")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
