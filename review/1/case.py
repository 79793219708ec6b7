"""A worker whose answer goes on without end, in small chunks; see claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import world  # noqa: E402

TIMEOUT_MS = 1000
LATE_S = 0.5
DEADLINE_MS = 4000
CALLERS_PER_MACHINE = 6
TROUBLE_AT_S, LENGTH_S = 4.0, 24.0
CHUNKS = b"1\r\nx\r\n" * 4096


class EndlessWorker(world.Worker):
    """Sound, except for one answer, which goes on until the router closes."""

    spoils_next = False
    sent = 0

    async def run(self, req, writer, attempt):
        if not self.spoils_next:
            return await super().run(req, writer, attempt)
        self.spoils_next = False
        record = self.world.record
        record.note("endless_begins", worker=self.name, attempt=attempt)
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.headers(attempt)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            while True:
                writer.write(CHUNKS)
                await writer.drain()
                self.sent += len(CHUNKS)
        except ConnectionError:
            record.note("endless_ends", worker=self.name, attempt=attempt)
            return None


async def call(own, entry, number, until_s):
    caller = world.Caller(own, entry, f"{entry.name}-{number}")
    while own.record.now() < until_s:
        await caller.send("POST", "/pay/1", DEADLINE_MS, body=b"order")
        await asyncio.sleep(0.1)


async def ask_ready(own, entry, until_s):
    """Asks for readiness once a second, as the platform does."""
    while own.record.now() < until_s:
        ready = await entry.is_ready()
        own.record.note("ready", machine=entry.name, ready=ready)
        await asyncio.sleep(1)


async def scenario(own):
    workers = [EndlessWorker(own, f"desk-{n}", "desk") for n in (1, 2, 3)]
    routes = [world.route("pay", "unsafe", "desk", TIMEOUT_MS, 145)]
    if not await own.start(routes, {"desk": None}, workers):
        return world.NOT_RUN
    begins_at = own.record.now()
    until_s = begins_at + LENGTH_S
    jobs = [
        asyncio.create_task(call(own, entry, number, until_s))
        for entry in own.entries
        for number in range(CALLERS_PER_MACHINE)
    ]
    jobs += [
        asyncio.create_task(ask_ready(own, entry, until_s)) for entry in own.entries
    ]
    await asyncio.sleep(TROUBLE_AT_S)
    if world.is_troubled():
        workers[0].spoils_next = True
    await asyncio.gather(*jobs)
    requests = own.record.find("request")
    ended = {line["attempt"]: line["at"] - line["sent"] for line in requests}
    limit_s = TIMEOUT_MS / 1000
    at_timeout = [attempt for attempt, lasted in ended.items() if lasted > limit_s]
    late = [attempt for attempt in at_timeout if ended[attempt] > limit_s + LATE_S]
    answered = sum(isinstance(line["outcome"], int) for line in requests)
    print(
        f"{len(requests)} requests, {answered} answered, {len(at_timeout)} unanswered "
        f"at TimeoutMs, {len(late)} of them half a second later; the router took "
        f"{workers[0].sent} bytes of the endless answer"
    )
    if answered < 100:
        return world.NOT_RUN
    broken = len(late) >= 8 and 2 * len(late) > len(at_timeout)
    return world.BROKEN if broken else world.HELD


world.play(pathlib.Path(__file__).parent, scenario, machines=3)
