"""Stand-ins and helpers of the review's scripts: store, workers, clients, processes.

Everything here follows the users' pages: a store with rows, plain HTTP/1.1 workers that
register there, callers that keep connections, and entry processes that are started with
the command of `deploy/system.toml`. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "review.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_ports(ip, count):
    """Returns free TCP ports of an address."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Writes `record.txt`: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.lines = []

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, what, **fields):
        line = {"at": round(self.now(), 4), "what": what} | fields
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()
        return line

    def find(self, what):
        return [line for line in self.lines if line["what"] == what]


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Returns start line, headers and body of an HTTP message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def answer_bytes(status, headers=(), body=b""):
    """Returns a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(ip, port, handler):
    """Starts an HTTP server; the handler gets a `Request` and the writer.

    The handler returns the bytes of the answer, or None to end the connection.
    """

    async def talk(reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                answer = await handler(Request(method, target, *message[1:]), writer)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(talk, ip, port, limit=2**20)


class Store:
    """The platform's store: rows, transactions and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.ver = 0
        self.changes = []
        self.changed = asyncio.Event()

    async def start(self, ip="127.0.0.1"):
        self.server = await serve(ip, 0, self.answer)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, table, key, value):
        """Writes a row of the operator or of a worker."""
        text = value if isinstance(value, str) else json.dumps(value)
        self._apply([("put", table, "", key, base64.b64encode(text.encode()).decode())])

    def remove(self, table, key):
        self._apply([("remove", table, "", key, None)])

    def _apply(self, entries):
        self.ver += 1
        for kind, table, part, key, value in entries:
            row = {"Table": table, "part": part, "Key": key, "Ver": self.ver}
            if kind == "put":
                row["Value"] = value
                self.rows[table, part, key] = row
            elif self.rows.pop((table, part, key), None) is not None:
                row["Removed"] = True
            else:
                continue
            self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def _reply(self, status, **fields):
        fields |= {"Ver": self.ver, "NowMs": int(time.monotonic() * 1000)}
        headers = [("Content-Type", "application/json")]
        return answer_bytes(status, headers, json.dumps(fields).encode())

    async def answer(self, req, writer):
        await asyncio.sleep(0.004)
        query = req.query
        if req.path == "/rows-tx":
            return self._transact(json.loads(req.body))
        if req.path == "/rows-get":
            keys = sorted(
                (key for table, part, key in self.rows
                 if (table, part) == (query["Table"], query.get("part", ""))
                 and key >= query.get("From", "")
                 and ("To" not in query or key < query["To"])),
                key=str.encode,
            )
            limit = min(500, int(query.get("Limit", 500)))
            rows = [
                self.rows[query["Table"], query.get("part", ""), key]
                for key in keys[:limit]
            ]
            return self._reply(200, Rows=rows, HasMore=len(keys) > limit)
        if req.path == "/rows-feed":
            ends_at = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
            while True:
                changed = self.changed
                rows = [
                    row for row in self.changes
                    if row["Table"] == query["Table"] and row["Ver"] > int(query["after"])
                ]
                left_s = ends_at - time.monotonic()
                if rows or left_s <= 0:
                    return self._reply(200, Rows=rows)
                try:
                    await asyncio.wait_for(changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass
        if req.path == "/rows-parts":
            parts = {part for table, part, _ in self.rows if table == query["Table"]}
            return self._reply(200, parts=sorted(parts))
        return answer_bytes(404)

    def _transact(self, body):
        for row in body.get("Expected", ()):
            current = self.rows.get((row["Table"], row.get("part", ""), row["Key"]))
            if (current["Ver"] if current else 0) != row["Ver"]:
                return self._reply(412, Rows=[current] if current else [])
        entries = [
            ("put", row["Table"], row.get("part", ""), row["Key"], row["Value"])
            for row in body.get("Put", ())
        ]
        entries += [
            ("remove", row["Table"], row.get("part", ""), row["Key"], None)
            for row in body.get("Remove", ())
        ]
        if any(entry[1] in ("op", "servers") for entry in entries):
            return self._reply(403)
        self._apply(entries)
        return self._reply(200)


class StoreProxy:
    """A proxy before the store whose open connections may go silent for good.

    The keep-alive probes of a program meet the proxy's kernel, which answers them. On
    the platform nothing answers, so the proxy resets a silent connection at the time at
    which probes of the given settings would have ended it.
    """

    KEEPALIVE_IDLE_S = KEEPALIVE_INTERVAL_S = 1.0
    KEEPALIVE_PROBES = 2

    def __init__(self, store):
        self.store, self.conns = store, set()

    async def start(self):
        self.server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _talk(self, reader, writer):
        host, port = self.store.address.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        conn = _ProxiedConnection(writer, store_writer)
        self.conns.add(conn)
        await asyncio.gather(
            conn.pump(reader, store_writer), conn.pump(store_reader, writer)
        )
        self.conns.discard(conn)
        writer.close()
        store_writer.close()

    def silence(self, min_age_s):
        """Silences the connections that have been open for some time."""
        now = time.monotonic()
        old = [conn for conn in self.conns if now - conn.opened_at >= min_age_s]
        for conn in old:
            conn.silent = True
            # The probe that is due next is the first one without an answer.
            idle_s = now - conn.data_at
            probe_in_s = max(self.KEEPALIVE_IDLE_S - idle_s, 1.0 - idle_s % 1.0)
            ends_in_s = probe_in_s + self.KEEPALIVE_PROBES * self.KEEPALIVE_INTERVAL_S
            loop = asyncio.get_running_loop()
            loop.call_later(ends_in_s, conn.reset)
        return len(old)


class _ProxiedConnection:
    def __init__(self, writer, store_writer):
        self.writers = (writer, store_writer)
        self.opened_at = self.data_at = time.monotonic()
        self.silent = False

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self.silent:
                    self.data_at = time.monotonic()
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if not self.silent:
            writer.close()


def route(name, kind, service, timeout_ms, target_ms, **fields):
    """Returns a route of the configuration."""
    return {
        "Name": name, "Host": HOST, "PathPrefix": f"/{name}/", "Kind": kind,
        "TimeoutMs": timeout_ms, "TargetLatencyMs": target_ms, "Priority": 1,
        "Service": service, "MaxAttempts": 1, "Sticky": False, "Resumable": False,
    } | fields


ENGINE = {
    "Slots": 64, "KvCapacity": 42754, "KvTokenBytes": 18432, "LinkMbps": 550000.0,
    "Moves": True, "Backups": True, "Stride": 13, "most": 12, "KvHoldS": 0.5,
    "RoleSwitchS": 6.0, "PinMs": 4000.0, "HoldMs": 2000.0, "Models": [{"Name": "m"}],
}


def configuration(version, routes, services):
    """Returns a configuration; services maps names to their engine or None."""
    listed = []
    for name, engine in services.items():
        fields = {"Name": name, "HealthPath": "/health", "MaxConnections": 370}
        fields |= {"Protocol": "h1", "Tls": False}
        listed.append(fields | ({"Engine": engine} if engine else {}))
    limits = {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {"Version": version, "Routes": routes, "Services": listed, "Limits": limits}


class Worker:
    """A sound worker of a plain service; subclasses change `run`."""

    def __init__(self, world, name, service, work_s=0.0225, slots=6, stage=None):
        self.world, self.name, self.service = world, name, service
        self.work_s, self.slots, self.stage = work_s, slots, stage
        self.ip, self.port, self.server = "127.0.0.1", 0, None
        self.id = name
        self.starts = 0
        self.writers = set()

    async def start(self):
        """Starts the worker and writes its entry.

        After a crash it has the same address; after `stop` it has another one.
        """
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.server = await serve(self.ip, self.port, self.answer)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        self.write_entry()

    def write_entry(self, state="ready"):
        entry = {
            "Service": self.service, "Address": self.address, "Zone": "zone-1",
            "Version": "v1", "Slots": self.slots, "State": state,
            "ColdRemainingMs": 0, "Sequence": 1, "born": self.born,
        }
        if self.stage:
            models = [{"Name": "m", "Version": 1, "Adapters": []}]
            entry |= {"Stage": self.stage, "Models": models}
        self.world.store.put("servers", self.id, entry)

    async def crash(self):
        """Ends the worker: its port refuses and its connections are reset."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def stop(self):
        """Ends the worker in a planned way, once it has drained."""
        self.port = 0
        self.server.close()
        self.world.store.remove("servers", self.id)

    async def answer(self, req, writer):
        self.writers.add(writer)
        if req.path == "/health":
            return answer_bytes(200, [("X-Instance-Id", self.id)])
        if req.path == "/report":
            report = {
                "Stage": self.stage, "Busy": False, "Sequence": 0, "Waiting": 0,
                "Running": 0, "KvUsed": 0, "KvTotal": 42754, "KvHandles": 0,
                "born": self.born,
            }
            headers = [("Content-Type", "application/json")]
            return answer_bytes(200, headers, json.dumps(report).encode())
        if req.headers.get("x-expect-instance", self.id) != self.id:
            return answer_bytes(421, [("X-Instance-Id", self.id)])
        attempt = req.headers.get("x-attempt-id", "")
        if req.path == "/order":
            return answer_bytes(400)
        if not attempt:
            return answer_bytes(200)
        self.world.record.note(
            "arrived", worker=self.name, attempt=attempt, path=req.path,
            sender=writer.get_extra_info("peername")[0],
        )
        return await self.run(req, writer, attempt)

    def headers(self, attempt):
        return [("X-Attempt-Id", attempt), ("X-Response-Stamp", f"{self.id}.{attempt}")]

    async def run(self, req, writer, attempt):
        """Runs a request and returns its answer."""
        await asyncio.sleep(self.work_s)
        return answer_bytes(200, self.headers(attempt), b"done " + attempt.encode())


class PrefillWorker(Worker):
    """A sound model worker that reads prompts and keeps their KV cache."""

    def __init__(self, world, name, service="lm", work_s=0.05):
        super().__init__(world, name, service, work_s, 64, "prefill")
        self.handles = {}

    async def answer(self, req, writer):
        if req.method == "DELETE" and req.path.startswith("/kv-handle/"):
            self.handles.pop(req.path.rpartition("/")[2], None)
            return answer_bytes(200)
        return await super().answer(req, writer)

    async def run(self, req, writer, attempt):
        if req.headers.get("x-serving-stage") != "prefill":
            return answer_bytes(421, [("X-Instance-Id", self.id)])
        await asyncio.sleep(self.work_s)
        handle = f"{self.id}-{len(self.handles)}-{time.monotonic_ns():x}"
        self.handles[handle] = attempt
        tokens = int(req.headers.get("x-token-count", "0").split(",")[0])
        body = {"KvHandle": handle, "Tokens": tokens, "Version": 1}
        headers = [("X-Attempt-Id", attempt), ("Content-Type", "application/json")]
        return answer_bytes(200, headers, json.dumps(body).encode())


class DecodeWorker(Worker):
    """A sound model worker that streams tokens as events."""

    def __init__(self, world, name, service="lm", events=20, gap_s=0.05):
        super().__init__(world, name, service, 0.0, 64, "decode")
        self.events, self.gap_s = events, gap_s

    async def answer(self, req, writer):
        if req.method == "POST" and req.path == "/hold-take":
            body = json.dumps({"Hold": f"h{time.monotonic_ns():x}"}).encode()
            return answer_bytes(200, [("Content-Type", "application/json")], body)
        if req.method == "DELETE":
            return answer_bytes(200)
        return await super().answer(req, writer)

    async def run(self, req, writer, attempt):
        if req.headers.get("x-serving-stage") == "prefill":
            return answer_bytes(421, [("X-Instance-Id", self.id)])
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.headers(attempt)]
        lines += ["Content-Type: text/event-stream", "X-Weight-Versions: 1"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(req.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        return b"0\r\n\r\n"


class Entry:
    """One machine: an entry process that the platform starts again when it ends."""

    def __init__(self, world, number, **settings):
        self.world, self.name = world, f"front-{number}"
        self.ip = f"127.0.{world.net}.{number}"
        self.settings = settings
        self.popen, self.started_at, self.kills = None, 0.0, []
        self.log_path = world.folder / f"{self.name}.log"
        self.boot_path = world.folder / f"{self.name}.toml"
        self.own_ends = []
        self.peak_mb = 0.0

    def write_settings(self, ports):
        front, ready, control, directory, internal = ports
        self.front, self.ready, self.directory = front, ready, directory
        self.boot_path.write_text(
            f"""
NodeName = "{self.name}"
Role = "entry"
MachineClass = "front"
Serves = ["front","directory"]
Ip = "{self.ip}"
Zone = "zone-1"
Region = "region-1"
InternalPorts = [{internal},{internal + 2}]
Seeds = []
Bootstrap = true
ToleranceMember = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[Zones]
zone-1 = "region-1"
[Listen]
Front = "{self.ip}:{front}"
Ready = "{self.ip}:{ready}"
Control = "{self.ip}:{control}"
Directory = "{self.ip}:{directory}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = {self.world.memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 56
RecoveryS = 12
TransitMs = 120
RetryAfterS = 9.3
FencingRequired = true
LeaseMs = 3000
ThawMs = 300
ttl_max_s = 5
[Platform]
Address = "{self.world.store_address()}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
"""
        )

    def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environ = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environ |= {
            "AMARANTHBAY_BOOT": str(self.boot_path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT, env=environ, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )
        self.started_at = self.world.record.now()
        self.world.record.note("process_started", machine=self.name, pid=self.popen.pid)

    def signal(self, signum):
        if self.popen.poll() is None:
            self.popen.send_signal(signum)
            at = self.world.record.now()
            self.kills.append(at)
            self.world.record.note("signal", machine=self.name, signal=int(signum))

    async def wait_exit(self, timeout_s):
        ends_at = time.monotonic() + timeout_s
        while self.popen.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        return self.popen.poll()

    async def is_ready(self):
        """Asks the process as the platform does, with a limit of a second."""
        try:
            answer = await asyncio.wait_for(
                exchange_once(self.ip, self.ready, b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n"), 1
            )
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and " 200 " in answer[0] + " "

    async def wait_ready(self, timeout_s=20):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def memory_mb(self):
        """Returns the resident memory, as the platform counts it."""
        try:
            status = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


async def exchange_once(ip, port, request):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request)
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


class Caller:
    """A client that keeps its connection to one machine for many requests."""

    def __init__(self, world, entry, name):
        self.world, self.entry, self.name = world, entry, name
        self.reader = self.writer = None
        self.count = 0

    async def send(self, method, path, deadline_ms, headers=(), body=b"", wait_s=None):
        """Sends one request; returns its line in the record.

        ``outcome`` is the status, "closed" if the connection ended without a complete
        answer, "no_connection" or "none" if nothing came in time.
        """
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        kept = self.writer is not None
        sent_at = self.world.record.now()
        outcome, text = "none", b""
        try:
            async with asyncio.timeout(wait_s or deadline_ms / 1000):
                if not kept:
                    async with asyncio.timeout(1):
                        self.reader, self.writer = await asyncio.open_connection(
                            self.entry.ip, self.entry.front
                        )
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
                lines += [f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                message = await read_message(self.reader)
                if message is None:
                    outcome = "closed"
                else:
                    outcome, text = int(message[0].split()[1]), message[2]
                    if message[1].get("connection", "").lower() == "close":
                        self.close()
        except asyncio.IncompleteReadError:
            outcome = "closed"
        except (OSError, TimeoutError):
            outcome = "none" if self.writer is not None else "no_connection"
        if not isinstance(outcome, int):
            self.close()
        return self.world.record.note(
            "request", machine=self.entry.name, attempt=attempt, path=path, kept=kept,
            sent=round(sent_at, 4), outcome=outcome, text=text[:60].decode("latin-1"),
        )

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, machines=3, memory_mb=150):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = 10 + os.getpid() % 200
        self.memory_mb = memory_mb
        self.store = Store()
        self.store_proxy = None
        self.workers = {}
        self.entries = [Entry(self, number) for number in range(1, machines + 1)]
        self.tasks = []
        self.supervised = True

    async def start(self, routes, services, workers):
        """Starts store, workers and processes; returns whether all became ready."""
        await self.store.start()
        if self.store_proxy is not None:
            await self.store_proxy.start()
        self.store.put("op", "config", configuration(1, routes, services))
        for worker in workers:
            self.workers[worker.name] = worker
            await worker.start()
        ports = free_ports(self.entries[0].ip, 5)
        for entry in self.entries:
            entry.write_settings(ports)
            entry.start()
        ready = [await entry.wait_ready() for entry in self.entries]
        self.tasks.append(asyncio.create_task(self._supervise()))
        return all(ready)

    def store_address(self):
        return (self.store_proxy or self.store).address

    async def _supervise(self):
        """Does what the platform does: memory limit, restart of ended processes."""
        while True:
            for entry in self.entries:
                if entry.popen.poll() is None:
                    size_mb = entry.memory_mb()
                    entry.peak_mb = max(entry.peak_mb, size_mb)
                    if size_mb > self.memory_mb:
                        self.record.note(
                            "memory_over_limit", machine=entry.name, mb=round(size_mb, 1)
                        )
                        entry.own_ends.append(self.record.now())
                        entry.popen.kill()
                        entry.popen.wait()
                elif self.supervised:
                    code = entry.popen.returncode
                    self.record.note("process_ended", machine=entry.name, code=code)
                    await asyncio.sleep(0.3)
                    entry.start()
            await asyncio.sleep(0.02)

    async def stop(self):
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        for entry in self.entries:
            if entry.popen is not None and entry.popen.poll() is None:
                entry.popen.send_signal(signal.SIGKILL)
                entry.popen.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_troubled():
    """Returns whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(folder, scenario, **options):
    """Runs a scenario and exits with its verdict."""

    async def run():
        # Without a handler, a signal would leave the processes behind.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for signum in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(signum, task.cancel)
        world = World(folder, **options)
        try:
            async with asyncio.timeout(115):
                return await scenario(world)
        finally:
            await world.stop()

    try:
        verdict = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case could not run: {exc!r}")
        verdict = NOT_RUN
    sys.stdout.flush()
    # Skips the destructors of connections whose event loop is closed.
    os._exit(verdict)
