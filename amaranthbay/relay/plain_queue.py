"""Plain calls that wait at this instance until a server has room for them."""

from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from result import Err, Ok

from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import log_decision, log_event
from amaranthbay.relay.refusals import no_room, timed_out
from amaranthbay.routing import BackendServer
from amaranthbay.scheduling.first_deadlines import FirstDeadlines
from amaranthbay.scheduling.plain import choose_plain, is_free, load_factor
from amaranthbay.scheduling.plain_line import (
    PlainLine,
    WaitingCall,
    retry_s,
)

__all__ = ["PlainPlacement", "PlainQueue"]

# Interval at which waiting calls are looked at again. Slots that calls of other
# instances leave are known from reports, which come at about this interval.
ADVANCE_INTERVAL_S = 0.01
# Digits of the seconds in log lines.
SECONDS_DIGITS = 4


@dataclass(frozen=True)
class PlainPlacement:
    """A server that was chosen for a call, which counts in its load until `release`.

    Attributes:
        server: `BackendServer` that gets the call.
        load_factor: By how much the calls ahead of it lengthen its time there.
        expected_free: Whether the server should have a free slot.
        release: Function that takes the call out of the load; further calls do nothing.
    """

    server: BackendServer
    load_factor: float
    expected_free: bool
    release: object


class PlainQueue:
    """Places the plain calls of this instance on servers, or refuses them."""

    def __init__(self, ctx):
        self._ctx = ctx
        # `PlainLine` by name of a service, and the ``AsyncResult`` of each waiting call
        # with the `Call`.
        self._lines = {}
        self._results = {}
        # Greenlet by name of a service that has waiting calls.
        self._tickers = {}
        self._deadlines = FirstDeadlines()
        # Monotonic time at which the calls of a service were last looked at.
        self._advanced_at = {}
        ctx.placed_load.on_release(self._advance_all)

    def place(self, call):
        """Waits until a `Call` is placed on its first server, or is refused.

        Returns:
            ``Result[PlainPlacement | None, Refusal]``; None if there is no server that
            may get requests.
        """
        service = call.service.name
        waiting = self._waiting_call(call)
        line = self._lines.setdefault(service, PlainLine())
        result = AsyncResult()
        self._results[waiting] = (call, result)
        line.add(waiting)
        try:
            self._advance(service)
            if not result.ready():
                log_event("plain_call_waits", request_id=call.request_id)
                self._await(call, result)
            if not result.ready():
                line.discard(waiting)
                return Err(timed_out(Verdict.NOT_RUN))
            return result.get()
        except BaseException:
            # The caller has hung up.
            line.discard(waiting)
            placed = result.value.ok() if result.successful() else None
            if placed is not None:
                placed.release()
            raise
        finally:
            self._results.pop(waiting, None)

    def place_again(self, call, excluded, only_free=False):
        """Places a further attempt of a call at once.

        Args:
            call: `Call` to place.
            excluded: Names of servers to leave out.
            only_free: Whether only servers with a free slot are used.

        Returns:
            `PlainPlacement`, or None if there is no such server.
        """
        ctx = self._ctx
        candidates = ctx.candidates(call.service.name, excluded=excluded)
        usable = [
            candidate for candidate in candidates if not only_free or is_free(candidate)
        ]
        chosen = choose_plain(usable, ctx.rng.random())
        return self._place(call, chosen, candidates)

    def _waiting_call(self, call):
        return WaitingCall(
            arrived_at=call.arrived_at,
            target_s=min(call.route.target_s, call.ends_at - call.arrived_at),
            priority=call.priority,
            elapsed_s=self._deadlines.elapsed_s(
                call.route.name, call.head.deadline_s, call.arrived_at
            ),
            draw=self._ctx.rng.random(),
            ends_at=call.ends_at,
        )

    def _await(self, call, result):
        """Waits until a call has its result or reaches its deadline."""
        service = call.service.name
        if service not in self._tickers:
            self._tickers[service] = gevent.spawn(self._advance_regularly, service)
        result.wait(max(0.0, call.ends_at - self._ctx.clock.monotonic()))

    def _advance_regularly(self, service):
        """Looks at the waiting calls of a service at intervals until none waits."""
        line, clock = self._lines[service], self._ctx.clock
        try:
            while len(line):
                gevent.sleep(ADVANCE_INTERVAL_S)
                elapsed_s = clock.monotonic() - self._advanced_at[service]
                # Arrivals and ends of calls have looked at them meanwhile.
                if elapsed_s >= ADVANCE_INTERVAL_S / 2:
                    self._advance(service)
        except Exception as exc:
            for call, result in tuple(self._results.values()):
                if call.service.name == service and not result.ready():
                    result.set_exception(exc)
        finally:
            del self._tickers[service]

    def _advance_all(self):
        """Looks at all waiting calls, since the load of a server has become less."""
        for service, line in tuple(self._lines.items()):
            if len(line):
                self._advance(service)

    def _advance(self, service):
        ctx, line = self._ctx, self._lines[service]
        now = self._advanced_at[service] = ctx.clock.monotonic()
        candidates = ctx.candidates(service)
        for outcome in line.advance(now, candidates, ctx.rng):
            call, result = self._results[outcome.waiting]
            try:
                result.set(self._apply(call, outcome, candidates))
            except Exception as exc:
                # Other calls run this, so an exception ends only the wait of its own.
                result.set_exception(exc)

    def _apply(self, call, outcome, candidates):
        """Returns the ``Result`` of a call that waits no longer; see `place`."""
        if not candidates:
            return Ok(None)
        if outcome.chosen is not None:
            return Ok(self._place(call, outcome.chosen, candidates))
        return Err(self._refuse(call, outcome, candidates))

    def _place(self, call, chosen, candidates):
        """Logs the choice and returns the `PlainPlacement`; None if there is none."""
        log_decision(
            "plain_server",
            chosen and chosen.server.name,
            (candidate.server.name for candidate in candidates),
            "shortest expected time",
            request_id=call.request_id,
            failure=chosen and round(chosen.failure_share, 2),
            running=chosen and chosen.running,
            service_s=chosen and round(chosen.service_s, SECONDS_DIGITS),
        )
        if chosen is None:
            return None
        name, slots = chosen.server.name, chosen.server.slots
        return PlainPlacement(
            chosen.server,
            load_factor(chosen.running, slots),
            chosen.running < slots,
            self._ctx.placed_load.add(name, ServerLoad(running=1)),
        )

    def _refuse(self, call, outcome, candidates):
        """Logs and returns the `Refusal` of a call that would be late."""
        target_s = call.route.target_s
        seconds = retry_s(outcome.wait_s, target_s, self._ctx.rng.random())
        log_event(
            "plain_call_refused",
            request_id=call.request_id,
            running={each.server.name: each.running for each in candidates},
            service_s=[round(each.service_s, SECONDS_DIGITS) for each in candidates],
            waited_s=round(outcome.waited_s, SECONDS_DIGITS),
            wait_s=round(outcome.wait_s, SECONDS_DIGITS),
            retry_s=round(seconds, SECONDS_DIGITS),
        )
        return no_room(seconds)
