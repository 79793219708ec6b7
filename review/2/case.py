"""A prefill worker whose answer goes on without end; see claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import world  # noqa: E402

MEMORY_MB = 150
LINK_BYTES_PER_S = 125_000_000  # LinkMbps = 1000
PIECE = b" " * 65536
WORK_S = 0.1
CALLERS_PER_MACHINE = 8
# Times at which the faulty worker begins to spoil one answer.
TROUBLE_AT_S, LENGTH_S = (4.0, 14.0, 24.0, 34.0), 44.0


class EndlessPrefill(world.PrefillWorker):
    """Sound, except for a few answers, which go on until the router closes."""

    spoils_next = False

    async def run(self, req, writer, attempt):
        if not self.spoils_next:
            return await super().run(req, writer, attempt)
        self.spoils_next = False
        record = self.world.record
        record.note("endless_begins", worker=self.name, attempt=attempt)
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"X-Attempt-Id: {attempt}", "Content-Type: application/json"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        sent, began_at = 0, record.now()
        try:
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
                await writer.drain()
                sent += len(PIECE)
                await asyncio.sleep(began_at + sent / LINK_BYTES_PER_S - record.now())
        except ConnectionError:
            return None
        finally:
            record.note("endless_ends", worker=self.name, attempt=attempt, bytes=sent)


async def call(own, entry, number, until_s):
    caller = world.Caller(own, entry, f"{entry.name}-{number}")
    while own.record.now() < until_s:
        await caller.send("POST", "/pay/1", 2000, body=b"order")
        await asyncio.sleep(0.05)


async def stream(own, entry, number, until_s):
    caller = world.Caller(own, entry, f"{entry.name}-s{number}")
    while own.record.now() < until_s:
        headers = [
            ("X-Model-Name", "m"), ("X-Token-Count", "800,40"),
            ("X-Prompt-Prefix", f"5c1e07a2:200,{number:x}{caller.count:04x}:600"),
        ]
        await caller.send("POST", "/draft/1", 8000, headers, b"prompt")
        await asyncio.sleep(0.2)


async def scenario(own):
    faulty = EndlessPrefill(own, "pre-1")
    workers = [faulty, world.PrefillWorker(own, "pre-2")]
    workers += [world.DecodeWorker(own, f"dec-{n}") for n in (1, 2, 3)]
    workers += [world.Worker(own, f"desk-{n}", "desk", WORK_S, 64) for n in (1, 2, 3)]
    routes = [
        world.route("pay", "unsafe", "desk", 2000, 300),
        world.route(
            "draft", "streaming", "lm", 8000, 1000,
            MaxAttempts=2, Sticky=True, GapAimMs=300,
        ),
    ]
    services = {"lm": world.ENGINE, "desk": None}
    if not await own.start(routes, services, workers):
        return world.NOT_RUN
    begins_at = own.record.now()
    until_s = begins_at + LENGTH_S
    jobs = [
        asyncio.create_task(call(own, entry, number, until_s))
        for entry in own.entries
        for number in range(CALLERS_PER_MACHINE)
    ]
    jobs += [
        asyncio.create_task(stream(own, entry, number, until_s))
        for entry in own.entries
        for number in range(2)
    ]
    for at_s in TROUBLE_AT_S:
        await asyncio.sleep(max(0.0, begins_at + at_s - own.record.now()))
        faulty.spoils_next = world.is_troubled()
    await asyncio.gather(*jobs)
    requests = own.record.find("request")
    arrived = {line["attempt"] for line in own.record.find("arrived")}
    # The workers of `desk` are sound, so that each request on them has an answer.
    lost = [
        line for line in requests
        if line["path"] == "/pay/1" and line["kept"] and line["outcome"] == "closed"
        and line["attempt"] in arrived
    ]
    ends = own.record.find("memory_over_limit")
    often = [entry.name for entry in own.entries if len(entry.own_ends) >= 3]
    served = sum(line["outcome"] == 200 for line in requests)
    peaks = ", ".join(f"{entry.peak_mb:.0f}" for entry in own.entries)
    print(
        f"{len(requests)} requests, {served} served; {len(ends)} processes over "
        f"{MEMORY_MB} MB (peaks {peaks}), {len(often)} machines three times; "
        f"{len(lost)} requests passed on from kept connections lost"
    )
    if served < 500:
        return world.NOT_RUN
    return world.BROKEN if len(lost) > 3 else world.HELD


world.play(pathlib.Path(__file__).parent, scenario, machines=3, memory_mb=MEMORY_MB)
