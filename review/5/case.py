"""A request that crashes its workers, before and after rolling restarts; see claim.txt."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import world  # noqa: E402

CONTACT_S, GRACE_S = 3.0, 8.0
DOWN_S = 2.0
CRASHING = "/pay/crashing"
CRASHES_BEFORE = 3
MAX_LATE_RETRIES = 3
ROLLS, TRIES_AFTER_ROLL = 2, 5
GAP_S = 2.6


class CrashingWorker(world.Worker):
    """Sound, but one request crashes it as it begins to run it."""

    async def run(self, req, writer, attempt):
        if req.path != CRASHING:
            return await super().run(req, writer, attempt)
        self.world.record.note("crashed", worker=self.name, attempt=attempt)
        old_id = self.id
        await self.crash()
        asyncio.get_running_loop().create_task(self._return(old_id))
        return None

    async def _return(self, old_id):
        await asyncio.sleep(DOWN_S)
        await self.start()
        # The store removes the old entry after three heartbeats of silence.
        await asyncio.sleep(3.6 - DOWN_S)
        self.world.store.remove("servers", old_id)


async def call(own, entry, number, stop):
    caller = world.Caller(own, entry, f"{entry.name}-{number}")
    while not stop.is_set():
        await caller.send("POST", "/pay/1", 1000, body=b"order")
        await asyncio.sleep(0.1)


class Crasher:
    """The caller whose request crashes workers; it comes again at any machine."""

    def __init__(self, own):
        self.own, self.count = own, 0

    async def send(self):
        entry = self.own.entries[self.count % len(self.own.entries)]
        self.count += 1
        caller = world.Caller(self.own, entry, f"crashing-{self.count}")
        line = await caller.send("POST", CRASHING, 1000, body=b"crashing order")
        caller.close()
        await asyncio.sleep(GAP_S)
        return line


async def roll(own):
    """Stops and starts the machines in turn, as in a planned rollout."""
    for entry in own.entries:
        entry.signal(signal.SIGTERM)
        code = await entry.wait_exit(GRACE_S)
        if code is None:
            entry.signal(signal.SIGKILL)
        while entry.popen.poll() is not None:
            await asyncio.sleep(0.05)
        await entry.wait_ready()
        own.record.note("restarted", machine=entry.name, code=code)
        await asyncio.sleep(1.0)


def in_touch(own, machine, at):
    """Returns whether a machine had no start and no signal in the `CONTACT_S` before."""
    events = own.record.find("signal") + own.record.find("process_started")
    return not any(
        line["machine"] == machine and at - CONTACT_S <= line["at"] <= at
        for line in events
    )


async def scenario(own):
    workers = [CrashingWorker(own, f"desk-{n}", "desk") for n in range(1, 5)]
    routes = [world.route("pay", "unsafe", "desk", 1000, 145)]
    if not await own.start(routes, {"desk": None}, workers):
        return world.NOT_RUN
    stop = asyncio.Event()
    jobs = [
        asyncio.create_task(call(own, entry, number, stop))
        for entry in own.entries
        for number in range(3)
    ]
    crasher = Crasher(own)
    await asyncio.sleep(CONTACT_S + 0.5)
    for _ in range(CRASHES_BEFORE + len(own.entries)):
        await crasher.send()
    for _ in range(ROLLS):
        if world.is_troubled():
            await roll(own)
        await asyncio.sleep(CONTACT_S + 0.5)
        for _ in range(TRIES_AFTER_ROLL):
            await crasher.send()
    stop.set()
    await asyncio.gather(*jobs)
    crashed = own.record.find("crashed")
    if len(crashed) < CRASHES_BEFORE:
        return world.NOT_RUN
    due_at = crashed[CRASHES_BEFORE - 1]["at"] + CONTACT_S
    machines = {
        line["attempt"]: line["machine"] for line in own.record.find("request")
    }
    late = [
        line for line in own.record.find("arrived")
        if line["path"] == CRASHING and line["at"] > due_at
        and in_touch(own, machines[line["attempt"]], line["at"])
    ]
    requests = own.record.find("request")
    lost = [
        line for line in requests
        if line["path"] != CRASHING and line["outcome"] in (502, 504, "closed")
    ]
    print(
        f"{crasher.count} attempts crashed {len(crashed)} workers; {len(late)} of them "
        f"reached workers later than ContactMs after the third crash; {len(lost)} of "
        f"{len(requests) - crasher.count} other requests failed"
    )
    return world.BROKEN if len(late) > MAX_LATE_RETRIES else world.HELD


world.play(pathlib.Path(__file__).parent, scenario, machines=3)
