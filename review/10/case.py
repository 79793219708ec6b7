"""A request that crashes workers comes again, several times at once, after its block."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import gevent
from harness import BOUNDS, CannotRun, Deployment, Worker, connect, fetch, read_answer, request, run_case

FOLDER = Path(__file__).resolve().parent
ZONES = ("uppsala", "vasteras", "orebro")
CONTACT_S = BOUNDS["ContactMs"] / 1000
DEADLY = "/saldo/tainted"
WORK_S, CRASH_AFTER_S, DOWN_S = 0.02, 0.015, 3.0
# Dose of retry_abuse: some clients repeat a request three times more, at once.
REPEATS = 3
# The client comes again after this time.
AGAIN_S = 62.0


class Ledger(Worker):
    """Worker of the plain service; the deadly request crashes it as it runs."""

    deadly = True
    on_crash = None
    crashed = False

    def run(self, conn, method, target, headers, body):
        if target == DEADLY and self.deadly and not self.crashed:
            gevent.spawn_later(CRASH_AFTER_S, self.crash)
        gevent.sleep(WORK_S)
        conn.answer(200, self.stamps(headers), b"balance")

    def crash(self):
        if not self.crashed:
            self.crashed = True
            self.record(f"{self.name} crashes")
            self.stop()
            self.on_crash(self)


def configuration():
    route = {
        "Host": "ledger.example",
        "TimeoutMs": 600,
        "TargetLatencyMs": 120,
        "Priority": 2,
        "Service": "huvudbok",
    }
    return {
        "Version": 1,
        "Routes": [
            route | {"Name": "saldo", "PathPrefix": "/saldo/", "Kind": "safe", "MaxAttempts": 2},
            route
            | {"Name": "bokning", "PathPrefix": "/bokning/", "Kind": "unsafe", "MaxAttempts": 1},
        ],
        "Services": [{"Name": "huvudbok", "HealthPath": "/health", "MaxConnections": 110}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


class Case:
    def __init__(self, record, trouble, deployment):
        self.record, self.trouble, self.deployment = record, trouble, deployment
        self.workers, self.crashed_at = [], []
        self.started = 0
        self.outcomes = {}

    def start_worker(self, place, port=None):
        """Starts a worker; each start is a new incarnation with a new id."""
        self.started += 1
        worker = Ledger(
            self.deployment, f"ledger-{place}-{self.started}", "huvudbok", ZONES[place], slots=6, port=port
        )
        worker.deadly, worker.place = self.trouble, place
        worker.on_crash = self.note_crash
        self.workers.append(worker)
        worker.start()

    def note_crash(self, worker):
        self.crashed_at.append(time.monotonic())

        def back():
            gevent.sleep(DOWN_S)
            self.start_worker(worker.place, worker.port)
            # The entry of the former incarnation expires after three heartbeats.
            gevent.sleep(0.6)
            self.deployment.store.remove("servers", worker.name)

        gevent.spawn(back)

    def send(self, number, attempt, target=DEADLY, method="GET", deadline_ms="600", body=b""):
        entry = self.deployment.entries[number % 3]
        self.record(f"client sends {attempt} ({method} {target}) to {entry.name}")
        headers = (("X-Attempt-Id", attempt), ("X-Deadline-Ms", deadline_ms))
        status, answer, _, _ = fetch(entry.front, target, method, headers, body)
        self.outcomes[attempt] = status
        if target == DEADLY or status != 200:
            self.record(f"client gets {status} for {attempt}, Retry-After {answer.get('retry-after')}")

    def postings(self, count, prefix):
        """Sends ordinary postings, which share the workers."""
        for number in range(count):
            gevent.spawn(self.send, number, f"{prefix}{number}", f"/bokning/{number}", "POST", "600", b"x")
            gevent.sleep(0.03)


def case(record, trouble):
    with Deployment(record, ZONES) as deployment:
        deployment.store.put("op", "config", configuration())
        run = Case(record, trouble, deployment)
        for place in range(3):
            run.start_worker(place)
        deployment.wait_ready()
        gevent.sleep(4)
        run.postings(9, "calm")
        gevent.sleep(1)
        if set(run.outcomes.values()) != {200}:
            raise CannotRun(f"calm traffic is not served: {run.outcomes}")
        # The request comes, and its client asks again after the first failure.
        run.send(0, "deadly0")
        gevent.sleep(0.1)
        run.send(1, "deadly1")
        gevent.sleep(1)
        if trouble and len(run.crashed_at) != 3:
            raise CannotRun(f"{len(run.crashed_at)} workers have crashed, not 3")
        third_at = run.crashed_at[2] if trouble else time.monotonic()
        # It comes again now and then.
        for number in range(5):
            gevent.sleep(5)
            run.send(number, f"later{number}")
        gevent.sleep(max(0.0, third_at + AGAIN_S - time.monotonic()))
        before = len(run.crashed_at)
        gevent.spawn(run.postings, 20, "posting")
        gevent.sleep(0.3)
        jobs = [gevent.spawn(run.send, number, f"again{number}") for number in range(1 + REPEATS)]
        gevent.joinall(jobs)
        gevent.sleep(2)
        if not trouble:
            return []
        late = {}
        for worker in run.workers:
            for arrived_at, attempt, _ in worker.arrivals:
                if attempt.startswith(("later", "again")) and arrived_at > third_at + CONTACT_S:
                    late.setdefault(attempt, []).append(worker.name)
        record(f"retries later than ContactMs after the third crash that reach workers: {late}")
        record(f"workers that these have crashed: {len(run.crashed_at) - before}")
        failed = {a: s for a, s in run.outcomes.items() if a.startswith("posting") and s != 200}
        record(f"postings beside them that failed: {failed}")
        if len(late) > 3:
            return [f"BUDGET: the request reaches workers in {len(late)} retries"]
        return []


if __name__ == "__main__":
    run_case(FOLDER, case)
