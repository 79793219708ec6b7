"""Opens a stream: places it, computes its prompt and reads the head of its answer."""

from dataclasses import dataclass

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.relay.exchange import (
    ExchangeBroken,
    open_exchange,
    take_connection,
)
from amaranthbay.relay.holds import drop_hold, release_handle, take_hold
from amaranthbay.relay.plain import AMBIGUOUS_STATUSES
from amaranthbay.relay.prefill import CONNECT_TIMEOUT_S, run_prefill
from amaranthbay.relay.refusals import RETRY_SOON, quarantined
from amaranthbay.relay.wasted import log_wasted_prefill

__all__ = ["OpenedStream", "StreamOpener", "decode_failed"]

# Share of a handle's life within which another decode server may still be offered it.
HANDLE_REUSE_SHARE = 0.6
OK = 200


@dataclass(frozen=True)
class _ComputedPrompt:
    """A computed prompt, whose KV cache a prefill server keeps for a moment.

    Attributes:
        server: `BackendServer` that keeps the KV cache.
        handle: Name of the KV cache at that server.
        source: Text that tells a decode server where to fetch the KV cache.
        computed_at: Monotonic time at which the prefill ended.
    """

    server: object
    handle: str
    source: str
    computed_at: float


@dataclass(frozen=True)
class OpenedStream:
    """A decode server's answer whose head has been read.

    Attributes:
        placement: `Placement` with the decode server.
        exchange: `Exchange` with the decode server.
        head: `AnswerHead` of the answer.
        called_at: Monotonic time at which the request was sent.
    """

    placement: object
    exchange: object
    head: object
    called_at: float

    def close(self):
        """Ends the exchange and releases the placement."""
        self.exchange.close()
        self.placement.release()


class StreamOpener:
    """Opens attempts of one stream, one after the other."""

    def __init__(
        self,
        ctx,
        queue,
        call,
        attempts,
        output,
        watch_head,
        excluded=frozenset(),
        streams_only=False,
        is_taken_over=lambda: False,
    ):
        """Creates the opener.

        Args:
            ctx: `RelayContext` of the process.
            queue: `StreamQueue` that places the stream.
            call: `Call` of the stream.
            attempts: `StreamAttempts` of the stream, which records the outcomes.
            output: `StreamOutput` with the events that the caller has.
            watch_head: Function of an `Exchange` and its `BackendServer` that watches
                the silence before the head.
            excluded: Names of servers to leave out besides those that have failed.
            streams_only: Whether an answer counts only if it is a stream, as another
                attempt is in progress.
            is_taken_over: Function that returns whether another opener is at work on
                the stream; a computed prompt is then not offered elsewhere.
        """
        self._ctx = ctx
        self._queue = queue
        self._call = call
        self._attempts = attempts
        self._output = output
        self._watch_head = watch_head
        self._excluded = excluded
        self._streams_only = streams_only
        self._is_taken_over = is_taken_over

    def place(self):
        """Waits for servers that can take the stream.

        Returns:
            ``Result[tuple[Placement, str], Refusal]`` with the id of the hold at the
            decode server, which is empty for none.
        """
        counted = False
        while True:
            place_result = self._queue.place(
                self._call,
                self._excluded | self._attempts.excluded,
                self._attempts.must_skip_prefill(),
                self._attempts.version is not None,
                self._attempts.version,
                counted,
            )
            if place_result.is_err():
                return place_result
            placement = place_result.unwrap()
            refusal = self._access_refusal()
            if refusal is not None:
                placement.release()
                return Err(refusal)
            if self._ctx.crashes.is_quarantined(self._call):
                # Its crashes became known while it waited.
                placement.release()
                return Err(quarantined())
            hold_result = Err("interrupted")
            try:
                hold_result = take_hold(self._ctx, self._call, placement)
            finally:
                if hold_result.is_err():
                    placement.release()
            if hold_result.is_ok():
                return Ok((placement, hold_result.unwrap()))
            if self._attempts.version is None:
                self._queue.note_not_started(self._call, placement)
                counted = True

    def _access_refusal(self):
        """Returns the `Refusal` if the caller's key was removed during the wait.

        A stream that a server runs, or may have run, goes on to its end.
        """
        if self._attempts.may_have_run:
            return None
        return self._call.access_refusal()

    def open(self, placement, hold):
        """Starts an attempt and releases its placement if that fails.

        Args:
            placement: `Placement` of the attempt.
            hold: Id of the hold at the decode server; empty for none.

        Returns:
            ``Result[OpenedStream, Refusal]``.
        """
        used = None
        try:
            outcome = self._attempt(placement, hold)
            used = outcome.unwrap().placement if outcome.is_ok() else None
            return outcome
        finally:
            if used is not placement:
                placement.release()

    def _attempt(self, placement, hold):
        if placement.prefill is None:
            return self._decode(placement, None, hold)
        ctx, server, conn = self._ctx, placement.decode, None
        try:
            # Connects before the prefill, so that no prompt is computed for a decode
            # server that can't be reached.
            conn = take_connection(
                ctx.connections,
                server,
                self._call.route.repeatable,
                CONNECT_TIMEOUT_S,
                self._call.head.attempt_id,
            )
            prefill_result = run_prefill(ctx, self._call, self._attempts, placement)
            placement.end_prefill()
            if prefill_result.is_err():
                return prefill_result
            handle = prefill_result.unwrap()
            if ctx.crashes.is_quarantined(self._call):
                # Its crashes became known during the prefill.
                release_handle(ctx, placement.prefill, handle)
                log_wasted_prefill(self._call, 0.0, quarantined())
                return Err(quarantined())
            server_conn, conn = conn, None
            return self._decode_computed(placement, handle, hold, server_conn)
        except ExchangeBroken as exc:
            self._attempts.note_failed(server, exc, sent=False)
            return decode_failed(exc)
        finally:
            if conn is not None:
                ctx.connections.give_back_unused(conn)
                drop_hold(ctx, server, hold)

    def _decode_computed(self, placement, handle, hold, conn):
        """Decodes a computed prompt and releases its KV cache if no server takes it.

        Args:
            placement: `Placement` whose prefill server has computed the prompt.
            handle: Name of the KV cache at the prefill server.
            hold: Id of the hold at the decode server; empty for none.
            conn: `ServerConnection` to the decode server.

        Returns:
            ``Result[OpenedStream, Refusal]``.
        """
        server = placement.prefill
        computed = _ComputedPrompt(
            server,
            handle,
            self._ctx.codec.kv_source(server.address, handle),
            self._ctx.clock.monotonic(),
        )
        was_suspect = self._ctx.handles.is_suspect(server.name)
        taken = False
        try:
            outcome = self._decode(placement, computed, hold, conn)
            # A suspect prefill server has probably lost the KV cache. Another decode
            # server couldn't fetch it either.
            if _is_not_run(outcome) and not was_suspect:
                other_outcome = self._decode_elsewhere(
                    outcome.unwrap_err(), placement.decode, computed
                )
                outcome = other_outcome or outcome
            taken = not _is_not_run(outcome)
            if outcome.is_err():
                age_s = self._age_s(computed)
                log_wasted_prefill(self._call, age_s, outcome.unwrap_err())
            return outcome
        except BaseException as exc:
            log_wasted_prefill(self._call, self._age_s(computed), exc=exc)
            raise
        finally:
            if not taken:
                release_handle(self._ctx, server, handle)

    def _age_s(self, computed):
        return self._ctx.clock.monotonic() - computed.computed_at

    def _decode_elsewhere(self, refusal, first_server, computed):
        """Offers a computed prompt to another decode server.

        Args:
            refusal: `Refusal` of the first decode server.
            first_server: `BackendServer` that refused.
            computed: `_ComputedPrompt` to offer.

        Returns:
            ``Result[OpenedStream, Refusal]``, or None if no server is left, the handle
            is too old, no repeat is allowed or another opener is at work.
        """
        if self._is_taken_over():
            return None
        age_s = self._age_s(computed)
        if age_s > HANDLE_REUSE_SHARE * self._call.service.engine.handle_ttl_s:
            return None
        excluded = self._excluded | self._attempts.excluded | {first_server.name}
        other_placement = self._queue.place_on_other_decode(
            self._call, excluded, computed.server.version
        )
        if other_placement is None:
            return None
        outcome = None
        try:
            hold_result = take_hold(self._ctx, self._call, other_placement)
            if hold_result.is_err():
                return None
            hold = hold_result.unwrap()
            if self._attempts.withdraw_repeat(refusal, prefill_again=False):
                outcome = self._decode(other_placement, computed, hold)
            else:
                drop_hold(self._ctx, other_placement.decode, hold)
            return outcome
        finally:
            if outcome is None or outcome.is_err():
                other_placement.release()

    def _decode(self, placement, computed, hold, conn=None):
        """Sends the request to the decode server and reads the head of its answer.

        Args:
            placement: `Placement` with the decode server.
            computed: `_ComputedPrompt`; None if the decode server computes the prompt.
            hold: Id of the hold at the decode server; empty for none.
            conn: `ServerConnection` to use if it is still open, or None.

        Returns:
            ``Result[OpenedStream, Refusal]``.
        """
        ctx, call, server = self._ctx, self._call, placement.decode
        options = call.forward_options(
            server.name,
            ctx.clock.monotonic(),
            kv_source=computed.source if computed is not None else "",
            hold=hold,
            last_event_id=self._output.last_id if self._output.started else None,
        )
        exchange, opened = None, None
        called_at = ctx.clock.monotonic()
        try:
            exchange = open_exchange(
                ctx.connections,
                ctx.codec,
                server,
                call,
                options,
                CONNECT_TIMEOUT_S,
                conn,
                placed=server.name in placement.counted,
            )
            self._attempts.note_decode_sent()
            self._watch_head(exchange, server)
            head = exchange.read_head()
            refusal = self._refusal_of(placement, computed, hold, head)
            if refusal is not None:
                return Err(refusal)
            if head.status == OK:
                ctx.outcomes.note_accepted(server.name)
                if computed is not None:
                    ctx.handles.note_fetched(computed.server.name)
            opened = OpenedStream(placement, exchange, head, called_at)
            return Ok(opened)
        except ExchangeBroken as exc:
            sent = exchange is not None
            self._attempts.note_failed(server, exc, sent, began=sent)
            return decode_failed(exc)
        finally:
            if exchange is not None and opened is None:
                exchange.close()

    def _refusal_of(self, placement, computed, hold, head):
        """Returns the `Refusal` for a decode server's `AnswerHead`.

        Returns:
            None if the answer is passed on to the caller.
        """
        server = placement.decode
        if head.traits.not_run:
            if (
                computed is not None
                and _surely_has_memory(placement, hold)
                and not head.traits.misdirected
            ):
                self._attempts.note_handle_refused(server, computed.server)
            else:
                self._attempts.note_refused(server, head)
            return _decode_refused(head)
        if self._must_withhold(head):
            self._attempts.note_refused(server, head)
            detail = f"the decode server answered {head.status}"
            return may_have_run(Reason.BACKEND_FAILED, detail)
        return None

    def _must_withhold(self, head):
        """Returns whether an answer other than a refusal is kept from the caller."""
        if head.status in AMBIGUOUS_STATUSES:
            return True
        if head.status < 300 and not head.traits.stamped:
            return True
        # A caller that has events needs a stream, and so does a takeover.
        needs_stream = self._output.started or self._streams_only
        if needs_stream and head.status != OK:
            return True
        # If no repeat is possible, the caller gets the failure as it is.
        return head.status >= 500 and self._must_withhold_failure()

    def _must_withhold_failure(self):
        """Returns whether a failure is kept from the caller.

        Another attempt may follow, or is in progress.
        """
        other_left = self._attempts.has_attempts_left() or self._is_taken_over()
        return self._call.route.repeatable and other_left


def _surely_has_memory(placement, hold):
    """Returns whether the decode server is known to have memory for the stream."""
    return bool(hold) or not placement.may_be_full


def _decode_refused(head):
    """Returns the `Refusal` of an attempt that the decode server did not run."""
    detail = f"the decode server refused with {head.status}"
    return not_run(Reason.BACKEND_REFUSED, detail, 503, RETRY_SOON)


def decode_failed(exc):
    """Returns ``Err`` with the `Refusal` of an attempt whose exchange broke.

    Args:
        exc: `ExchangeBroken` that was raised.
    """
    if exc.verdict is Verdict.NOT_RUN:
        detail = f"decode failed: {exc.reason}"
        return Err(not_run(Reason.BACKEND_FAILED, detail, 503, RETRY_SOON))
    detail = f"the decode server broke off: {exc.reason}"
    return Err(may_have_run(Reason.STREAM_BROKEN, detail))


def _is_not_run(outcome):
    return outcome.is_err() and outcome.unwrap_err().verdict is Verdict.NOT_RUN
