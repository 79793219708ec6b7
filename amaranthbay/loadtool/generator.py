"""One load generator process: sends its share of the arrivals on time.

Reads a `Job` as JSON from standard input and writes one `Outcome` a line.
"""

from amaranthbay.utils.runtime import pin_event_loop

pin_event_loop()

import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402

import gevent  # noqa: E402
import gevent.pool  # noqa: E402
import msgspec  # noqa: E402

from amaranthbay.client import Client  # noqa: E402
from amaranthbay.loadtool.arrivals import Arrival, prompt_text  # noqa: E402
from amaranthbay.utils.http import open_exchange  # noqa: E402

__all__ = ["Job", "Outcome"]

# A stream without any event for this long counts as broken.
SILENCE_S = 60.0


@dataclass(frozen=True)
class Job:
    """Work of one generator process.

    Attributes:
        start_unix_s: Wall-clock time at which the load starts.
        duration_s: Length of the load.
        drain_s: How long answers may still arrive after the load.
        service: Service to call.
        seeds: Caller addresses of daemons.
        seed: Seed of the prompts' text.
        arrivals: Requests of this process.
    """

    start_unix_s: float
    duration_s: float
    drain_s: float
    service: str
    seeds: tuple[str, ...]
    seed: int
    arrivals: tuple[Arrival, ...]


@dataclass
class Outcome:
    """What became of one request; times are seconds after it was due.

    Attributes:
        number: Number of the arrival.
        interactive: Whether the caller waits with targets.
        prompt_tokens: Length of the prompt.
        status: ``answered``, ``refused``, ``failed`` or ``unfinished``.
        reason: Reason of a refusal or failure.
        late_s: How late the generator sent it.
        first_s: Time of the first token.
        end_s: Time of the end of the answer or of the refusal.
        gaps_s: Times between tokens.
    """

    number: int
    interactive: bool
    prompt_tokens: int
    status: str = "unfinished"
    reason: str = ""
    late_s: float = 0.0
    first_s: float | None = None
    end_s: float | None = None
    gaps_s: list[float] = field(default_factory=list)


class Generator:
    """Plays the arrivals of a job."""

    def __init__(self, job):
        self._job = job
        self._clients = {}
        self._start = time.monotonic() + job.start_unix_s - time.time()
        self.outcomes = []

    def run(self):
        """Sends all requests and waits for their ends, within the drain time."""
        pool = gevent.pool.Pool()
        for arrival in self._job.arrivals:
            body = self._encode(arrival)
            gevent.sleep(max(0.0, self._start + arrival.at_s - time.monotonic()))
            outcome = Outcome(
                arrival.number, arrival.interactive, arrival.prompt_tokens
            )
            self.outcomes.append(outcome)
            pool.spawn(self._send, arrival, body, outcome)
        end = self._start + self._job.duration_s + self._job.drain_s
        pool.join(timeout=max(0.0, end - time.monotonic()))
        pool.kill()

    def _encode(self, arrival):
        return msgspec.json.encode(
            {
                "model": self._job.service,
                "prompt": prompt_text(arrival, self._job.seed),
                "max_tokens": arrival.output_tokens,
                "stream": True,
            }
        )

    def _client(self, arrival):
        key = (arrival.workspace, arrival.zone)
        if key not in self._clients:
            self._clients[key] = Client(
                self._job.seeds, arrival.workspace, arrival.caller, arrival.zone
            )
        return self._clients[key]

    def _send(self, arrival, body, outcome):
        due = self._start + arrival.at_s
        outcome.late_s = time.monotonic() - due
        headers = [("X-Workspace", arrival.workspace), ("X-Caller", arrival.caller)]
        for address in self._client(arrival).addresses(self._job.service):
            opened = open_exchange(
                address, "POST", "/v1/completions", body, headers, SILENCE_S
            )
            if opened.is_ok():
                self._read(opened.unwrap(), due, outcome)
                return
            failure = opened.unwrap_err()
            outcome.status, outcome.reason = "failed", failure.verdict
            if failure.verdict != "not_run":
                return

    def _read(self, exchange, due, outcome):
        try:
            if exchange.status != 200:
                self._read_problem(exchange.read(), outcome)
            else:
                self._read_stream(exchange, due, outcome)
        except (OSError, ValueError) as exc:
            outcome.status, outcome.reason = "failed", type(exc).__name__
        finally:
            outcome.end_s = time.monotonic() - due
            exchange.close()

    def _read_problem(self, raw, outcome):
        found = msgspec.json.decode(raw)
        outcome.reason = found.get("reason", "")
        ran = found.get("verdict") != "not_run"
        outcome.status = "failed" if ran else "refused"

    def _read_stream(self, exchange, due, outcome):
        last = None
        failed = False
        for line in exchange.lines():
            if line == b"event: error":
                failed = True
            if not line.startswith(b"data: "):
                continue
            if failed:
                self._read_problem(line[6:], outcome)
                outcome.status = "failed"
                return
            if line == b"data: [DONE]":
                outcome.status = "answered"
                return
            if b'"finish_reason":"stop"' in line:
                continue
            now = time.monotonic()
            if last is None:
                outcome.first_s = now - due
            else:
                outcome.gaps_s.append(round(now - last, 5))
            last = now
        outcome.status, outcome.reason = "failed", "truncated"


def main():
    """Runs the job on standard input."""
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=Job)
    generator = Generator(job)
    generator.run()
    for outcome in generator.outcomes:
        sys.stdout.buffer.write(msgspec.json.encode(outcome) + b"\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
