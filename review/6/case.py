"""A stream whose prompt is computed slowly reaches a decode server that drains."""

import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import gevent
import gevent.lock
from harness import (
    BOUNDS,
    CannotRun,
    Deployment,
    Worker,
    fetch,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
ZONES = ("uppsala", "vasteras", "orebro")
TOKENS_PER_S = 33_333.0
# Dose of srv_slow: work times as long, for seconds.
SLOW, SLOW_S = 4.0, 5.0
ROUNDS = 6
# Usual traffic before each round.
CALM, CALM_PER_S = 30, 5.2
NUMBERS = itertools.count()
# Streams of the burst: seconds after the first worker that scale_in takes away, number,
# prompt tokens and zone of the clients; twelve in any second, 2.3 times the usual 5.2.
CLUMPS = (
    (-1.10, 3, 6600, None),
    (-0.81, 3, 6600, None),
    (-0.30, 2, 6600, None),
    (0.08, 4, 6600, None),
    (0.20, 4, 300, "orebro"),
)
# Time from the first to the second worker that scale_in takes away.
SECOND_AFTER_S = 0.02
EVENTS, STEP_S = 10, 0.02
DRAIN_S = BOUNDS["DrainMs"] / 1000
# A worker that drains serves for DrainMs and a little longer, and then exits. Streams
# take 0.2 s, so that each one that reaches it in time is complete by then.
LITTLE_LONGER_S = 0.25


class Prefill(Worker):
    slow = 1.0
    numbers = 0

    def __init__(self, *args, **options):
        super().__init__(*args, stage="prefill", **options)
        self.turn = gevent.lock.Semaphore(1)

    def run(self, conn, method, target, headers, body):
        tokens = int(headers["x-token-count"].split(",")[0])
        with self.turn:
            gevent.sleep(self.slow * tokens / TOKENS_PER_S)
        Prefill.numbers += 1
        text = '{"KvHandle":"h%d","Tokens":%d,"Version":1}' % (Prefill.numbers, tokens)
        head = [("Content-Type", "application/json"), self.stamps(headers)[0]]
        conn.answer(200, head, text.encode())


class Decode(Worker):
    def __init__(self, *args, **options):
        super().__init__(*args, stage="decode", **options)

    def run(self, conn, method, target, headers, body):
        conn.begin(200, [("Content-Type", "text/event-stream"), *self.stamps(headers)])
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            gevent.sleep(STEP_S)
            conn.part(b"id: %d\ndata: piece\n\n" % number)
        conn.finish()


class Ledger(Worker):
    """Worker of the plain service, which gets no requests here."""


def configuration():
    stream = {
        "Host": "ledger.example",
        "Kind": "streaming",
        "TimeoutMs": 14000,
        "TargetLatencyMs": 1000,
        "GapAimMs": 300,
        "Priority": 1,
        "Service": "sammandrag",
        "Sticky": True,
    }
    engine = {
        "Slots": 64,
        "KvCapacity": 42754,
        "KvTokenBytes": 18432,
        "LinkMbps": 550000.0,
        "KvHoldS": 0.5,
        "RoleSwitchS": 6.0,
        "PinMs": 4000,
        "HoldMs": 2000,
    }
    return {
        "Version": 1,
        "Routes": [
            stream | {"Name": "besiktning", "PathPrefix": "/besiktning/", "MaxAttempts": 1},
            stream
            | {
                "Name": "tvistakt",
                "PathPrefix": "/tvistakt/",
                "MaxAttempts": 2,
                "Resumable": True,
            },
        ],
        "Services": [
            {"Name": "sammandrag", "MaxConnections": 370, "Engine": engine},
            {"Name": "huvudbok", "HealthPath": "/health", "MaxConnections": 110},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def leave(worker):
    """Lets a worker report that it drains, and exit when the pages allow it."""

    def end():
        gevent.sleep(DRAIN_S + LITTLE_LONGER_S)
        worker.exit()
        worker.deployment.store.remove("servers", worker.name)

    worker.drain()
    gevent.spawn(end)


def send(record, entry, attempt, route, tokens, outcomes):
    headers = (
        ("X-Attempt-Id", attempt),
        ("X-Model-Name", "m"),
        ("X-Token-Count", f"{tokens},68"),
        ("X-Prompt-Prefix", f"aa{attempt}:200,bb{attempt}:{tokens - 200}"),
        ("X-Deadline-Ms", "14000"),
    )
    record(f"client sends stream {attempt} ({route}, {tokens} tokens) to {entry.name}")
    status, _, body, complete = fetch(entry.front, f"/{route}/x", "POST", headers, b"text")
    outcomes[attempt] = status if complete else "cut"
    end = "complete" if complete else "cut"
    record(f"client gets {status} for {attempt}, {body.count(b'id: ')} events, {end}")


def play_calm(record, deployment, outcomes):
    """Sends the usual traffic."""
    jobs = []
    for position in range(CALM):
        number = next(NUMBERS)
        tokens = (1200, 2200, 3000, 3800, 4800)[position % 5]
        entry, route = deployment.entries[number % 3], ("besiktning", "tvistakt")[position % 2]
        args = (record, entry, f"calm{number}", route, tokens, outcomes)
        jobs.append(gevent.spawn(send, *args))
        gevent.sleep(1 / CALM_PER_S)
    gevent.joinall(jobs)


def play_round(record, deployment, prefill, leavers, outcomes):
    """Sends the burst while a prefill worker is slow and two workers are taken away.

    Args:
        record: `Record`.
        deployment: `Deployment`.
        prefill: Prefill worker that turns slow.
        leavers: The two workers; false for none, and no slow worker.
        outcomes: Gets the outcome by attempt.
    """
    began_at = time.monotonic() + 1.3
    events = [(at, "send", args) for at, *args in CLUMPS]
    if leavers:
        events += [(-1.25, "slow", SLOW), (SLOW_S - 1.25, "slow", 1.0)]
        events += [(0.0, "leave", leavers[0]), (SECOND_AFTER_S, "leave", leavers[1])]
    jobs = []
    for at, event, *args in sorted(events, key=lambda each: each[0]):
        gevent.sleep(max(0.0, began_at + at - time.monotonic()))
        if event == "leave":
            leave(*args)
        elif event == "slow":
            prefill.slow = args[0]
            record(f"{prefill.name} works {prefill.slow:g} times as long")
        else:
            count, tokens, zone = args[0]
            for _ in range(count):
                number = next(NUMBERS)
                entry = deployment.entries[ZONES.index(zone) if zone else number % 3]
                route = ("besiktning", "tvistakt")[number % 2]
                job = (record, entry, f"burst{number}", route, tokens, outcomes)
                jobs.append(gevent.spawn(send, *job))
    gevent.joinall(jobs)


def case(record, trouble):
    with Deployment(record, ZONES) as deployment:
        deployment.store.put("op", "config", configuration())
        prefills = [
            Prefill(deployment, f"pre-{n}", "sammandrag", ZONES[n % 3]).start() for n in (1, 2)
        ]
        decodes = [
            Decode(deployment, f"dec-{n}", "sammandrag", ZONES[n % 3]).start()
            for n in (1, 3, 2)
        ]
        ledgers = [
            Ledger(deployment, f"ledger-{n}", "huvudbok", ZONES[n % 3], slots=6).start()
            for n in range(4)
        ]
        deployment.wait_ready()
        gevent.sleep(4)
        outcomes = {}
        play_calm(record, deployment, outcomes)
        if set(outcomes.values()) != {200}:
            raise CannotRun(f"calm traffic is not served: {outcomes}")
        for round_number in range(1, ROUNDS + 1):
            record(f"round {round_number}")
            leavers = [ledgers[-1], decodes[-1]]
            play_round(record, deployment, prefills[1], trouble and leavers, outcomes)
            if trouble:
                # scale_out brings as many workers again.
                name = f"ledger-{3 + round_number}"
                ledgers.append(Ledger(deployment, name, "huvudbok", ZONES[0], slots=6).start())
                name = f"dec-{3 + round_number}"
                decodes.append(Decode(deployment, name, "sammandrag", ZONES[2]).start())
            play_calm(record, deployment, outcomes)
        broken = []
        for worker in decodes:
            for arrived_at, attempt, prefill in worker.arrivals:
                if worker.drained_at and arrived_at > worker.drained_at + DRAIN_S:
                    late_s = arrived_at - worker.drained_at
                    broken.append(
                        f"DRAIN: {attempt} reaches {worker.name} {late_s:.3f} s after the store "
                        f"has accepted that it is draining; its client gets {outcomes[attempt]}"
                    )
        return broken


if __name__ == "__main__":
    run_case(FOLDER, case)
