"""Backend servers of the soak: they note what they run, and misbehave on demand."""

import time
from dataclasses import dataclass, field

import gevent
import h11

from amaranthbay.platform.tests.standins import Reply, ServerStandin

__all__ = ["Arrival", "SoakServer", "Statement", "expected_body", "expected_events"]

# Longer than any route's time, so that only the router ends the wait.
HANG_S = 6.0
LONGEST_WORK_S = 0.08
EVENTS = 4
# Forms of answers that say that nothing ran.
REFUSALS = ("refuse", "pause")
EVENT_PAUSE_S = 0.04


@dataclass(frozen=True)
class Arrival:
    """A request as a backend server got it.

    Attributes:
        attempt: Identity that the caller gave it.
        server: Name of the server.
        service: Service of the server.
        target: Path and query.
        body: Body.
        at: Monotonic time.
        ran: Whether the server ran it; a computed prompt is no run.
        prefill: Whether only the prompt was to be computed.
    """

    attempt: str
    server: str
    service: str
    target: str
    body: bytes
    at: float
    ran: bool
    prefill: bool


@dataclass(frozen=True)
class Statement:
    """What a backend server has said of itself in an answer.

    Attributes:
        server: Name of the server.
        attempt: Request that it answered.
        at: Monotonic time.
        pause_s: Time for which it wants no requests; 0 if it says that it leaves.
    """

    server: str
    attempt: str
    at: float
    pause_s: float


def expected_body(server, attempt):
    """Returns the plain answer that a server gives to a request."""
    return f"{server} ran {attempt}".encode()


def expected_events(attempt):
    """Returns the events of a whole stream."""
    return b"".join(_event(attempt, number) for number in range(1, EVENTS + 1))


def _event(attempt, number):
    return f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()


@dataclass
class SoakServer(ServerStandin):
    """A backend server that draws its faults.

    Attributes:
        service: Its service.
        rng: `random.Random`.
        faults: Shares of the requests that are answered wrongly, by form: refuse,
            pause, error, cut, break, extra, hang.
        arrivals: `Arrival` of each request.
        pause_s: Pause that it asks for as it refuses.
        statements: `Statement` of each answer in which it says that it leaves, or
            asks for a pause.
    """

    service: str = ""
    rng: object = None
    faults: dict = field(default_factory=dict)
    arrivals: list = field(default_factory=list)
    pause_s: float = 0.0
    statements: list = field(default_factory=list)

    def _reply(self, req):
        if req.headers.get("x-expect-instance", self.name) != self.name:
            return Reply(421, (("X-Instance-Id", self.name),))
        if self._is_control(req):
            return self._answer_control(req)
        prefill = req.headers.get("x-serving-stage") == "prefill"
        form = self._draw()
        self._note(req, form not in REFUSALS and not prefill, prefill)
        if self.leaving:
            self.statements.append(self._statement(req, 0.0))
        if form == "pause":
            self.statements.append(self._statement(req, self.pause_s))
            return self.refusal(retry_after=f"{self.pause_s:.3f}")
        if form == "refuse":
            return self.refusal()
        if form == "hang":
            gevent.sleep(HANG_S)
            return None
        gevent.sleep(self.rng.uniform(0.0, LONGEST_WORK_S))
        if form == "error":
            return self.signed_reply(req, 500, body=b"failed")
        if form == "cut":
            return None
        if prefill:
            return super()._reply(req)
        if "x-token-count" in req.headers:
            return self._stream(req, form)
        return self._plain(req, form)

    def _draw(self):
        number = self.rng.random()
        for form, share in self.faults.items():
            if number < share:
                return form
            number -= share
        return ""

    def _note(self, req, ran, prefill):
        self.arrivals.append(
            Arrival(
                req.headers.get("x-attempt-id", ""),
                self.name,
                self.service,
                req.target,
                req.body,
                time.monotonic(),
                ran,
                prefill,
            )
        )

    def _statement(self, req, pause_s):
        attempt = req.headers.get("x-attempt-id", "")
        return Statement(self.name, attempt, time.monotonic(), pause_s)

    def _plain(self, req, form):
        attempt = req.headers.get("x-attempt-id", "")
        body = expected_body(self.name, attempt)
        if form == "break":
            return self.signed_reply(req, chunks=(body[:4],), cut=True)
        extra = _second_answer(self.name) if form == "extra" else b""
        return self.signed_reply(req, body=body, extra=extra)

    def _stream(self, req, form):
        attempt = req.headers.get("x-attempt-id", "")
        start = int(req.headers.get("last-event-id", 0)) + 1
        parts = [_event(attempt, number) for number in range(start, EVENTS + 1)]
        if form == "break":
            # The last part that is sent is half an event.
            parts = [*parts[:1], *(each[:9] for each in parts[1:2])]
        return self.signed_reply(
            req, chunks=tuple(parts), pause_s=EVENT_PAUSE_S, cut=form == "break"
        )


def _second_answer(server):
    """Returns an answer that belongs to no request."""
    body = b"nobody asked " + server.encode()
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    conn.next_event()
    headers = [
        ("X-Attempt-Id", "ffffffffffffffff"),
        ("X-Response-Stamp", f"stamp-{server}"),
        ("Content-Length", str(len(body))),
    ]
    return conn.send(h11.Response(status_code=200, headers=headers)) + conn.send(
        h11.Data(data=body)
    )
