"""Process that sends a part of the load's requests, each when it is due.

Reads a `Job` as JSON from standard input and writes each `Outcome` as a JSON line to
standard output.
"""

from amaranthbay.utils.runtime import select_event_loop

select_event_loop()

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

# A response that sends no byte for this long counts as broken.
READ_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class Job:
    """Requests that one generator process sends.

    Attributes:
        start_unix_s: Wall-clock time at which the load starts, in seconds since 1970.
        duration_s: Seconds of load.
        drain_s: Seconds after the load during which answers may still arrive.
        service: Name of the service to call.
        seeds: Caller addresses of the daemons, for lookups.
        seed: Seed of the prompts' texts.
        arrivals: Requests to send, in order of time.
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
    """Outcome of one request.

    Attributes:
        number: Number of the `Arrival`.
        interactive: Whether the caller has targets; it is patient otherwise.
        prompt_tokens: Length of the prompt, in tokens.
        status: ``answered``; ``refused`` by a daemon, without having run; ``failed`` in
            any other way; or ``unfinished`` if it had not ended when the run ended.
        reason: Why the request was refused or failed.
        late_s: Seconds from the time the request was due until it was sent.
        first_s: Seconds from the time the request was due to its first token; None if
            there was none.
        end_s: Seconds from the time the request was due to the end of the response;
            None if there was no response.
        gaps_s: Seconds between each two successive tokens.
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
    """Sends the requests of a `Job`.

    Attributes:
        outcomes: `Outcome` of each request sent so far, updated while its response
            arrives.
    """

    def __init__(self, job):
        self._job = job
        self._clients = {}
        self._load_start_at = time.monotonic() + job.start_unix_s - time.time()
        self.outcomes = []

    def run(self):
        """Sends all requests and waits for answers until the drain time is over."""
        pool = gevent.pool.Pool()
        for arrival in self._job.arrivals:
            body = self._encode_body(arrival)
            gevent.sleep(
                max(0.0, self._load_start_at + arrival.at_s - time.monotonic())
            )
            outcome = Outcome(
                arrival.number, arrival.interactive, arrival.prompt_tokens
            )
            self.outcomes.append(outcome)
            pool.spawn(self._send, arrival, body, outcome)
        end = self._load_start_at + self._job.duration_s + self._job.drain_s
        pool.join(timeout=max(0.0, end - time.monotonic()))
        pool.kill()

    def _encode_body(self, arrival):
        """Returns the JSON body of the request for a completion."""
        return msgspec.json.encode(
            {
                "model": self._job.service,
                "prompt": prompt_text(arrival, self._job.seed),
                "max_tokens": arrival.output_tokens,
                "stream": True,
            }
        )

    def _client(self, arrival):
        """Returns the client of the arrival's workspace and availability zone."""
        key = (arrival.workspace, arrival.zone)
        if key not in self._clients:
            self._clients[key] = Client(
                self._job.seeds, arrival.workspace, arrival.caller, arrival.zone
            )
        return self._clients[key]

    def _send(self, arrival, body, outcome):
        """Sends a request to the first daemon that accepts the connection.

        Tries the next daemon only if the request has not run.
        """
        due_at = self._load_start_at + arrival.at_s
        outcome.late_s = time.monotonic() - due_at
        headers = [("X-Workspace", arrival.workspace), ("X-Caller", arrival.caller)]
        for address in self._client(arrival).addresses(self._job.service):
            result = open_exchange(
                address, "POST", "/v1/completions", body, headers, READ_TIMEOUT_S
            )
            if result.is_ok():
                self._read_response(result.unwrap(), due_at, outcome)
                return
            failure = result.unwrap_err()
            outcome.status, outcome.reason = "failed", failure.verdict
            if failure.verdict != "not_run":
                return

    def _read_response(self, exchange, due_at, outcome):
        try:
            if exchange.status != 200:
                self._read_problem(exchange.read(), outcome)
            else:
                self._read_stream(exchange, due_at, outcome)
        except (OSError, ValueError) as exc:
            outcome.status, outcome.reason = "failed", type(exc).__name__
        finally:
            outcome.end_s = time.monotonic() - due_at
            exchange.close()

    def _read_problem(self, body, outcome):
        """Sets reason and status from a problem document in JSON."""
        problem = msgspec.json.decode(body)
        outcome.reason = problem.get("reason", "")
        may_have_run = problem.get("verdict") != "not_run"
        outcome.status = "failed" if may_have_run else "refused"

    def _read_stream(self, exchange, due_at, outcome):
        """Records the times of the tokens and how the stream ends."""
        last_token_at = None
        is_error_event = False
        for line in exchange.lines():
            if line == b"event: error":
                is_error_event = True
            if not line.startswith(b"data: "):
                continue
            if is_error_event:
                self._read_problem(line[6:], outcome)
                outcome.status = "failed"
                return
            if line == b"data: [DONE]":
                outcome.status = "answered"
                return
            # The event with the finish reason carries no token.
            if b'"finish_reason":"stop"' in line:
                continue
            now = time.monotonic()
            if last_token_at is None:
                outcome.first_s = now - due_at
            else:
                outcome.gaps_s.append(round(now - last_token_at, 5))
            last_token_at = now
        outcome.status, outcome.reason = "failed", "truncated"


def main():
    """Runs the `Job` on standard input and writes the outcomes."""
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=Job)
    generator = Generator(job)
    generator.run()
    for outcome in generator.outcomes:
        sys.stdout.buffer.write(msgspec.json.encode(outcome) + b"\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
