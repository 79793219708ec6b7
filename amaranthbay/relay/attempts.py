"""Tracks the attempts of one stream and decides whether another one may follow."""

from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import SendForbidden
from amaranthbay.relay.switches import inspect_refusal

__all__ = ["StreamAttempts"]


class StreamAttempts:
    """Counts the attempts of a stream and records their outcomes.

    The first prefill that a server accepts doesn't count as an attempt. Further
    accepted prefills, refused prefills and each decode that was sent do.

    Attributes:
        excluded: Names of servers that are not used again for this stream.
        prefilled: Whether a server has computed the prompt, or may have.
        decode_in_progress: Whether a decode server has the request, or may have.
        verdict: `Verdict` on the attempts that have ended.
        decode_sent_at: Monotonic time at which the last decode was sent; None if none
            was.
        version: Software version at which the stream began, and has to go on; None
            while it has not begun.
    """

    def __init__(self, ctx, call, version=None):
        """Creates the attempts of a stream.

        Args:
            ctx: `RelayContext` of the process.
            call: `Call` of the stream.
            version: Software version at which it began; None for a new stream.
        """
        self._ctx = ctx
        self._call = call
        self.version = version
        self._attempt_count = 0
        self.excluded = set()
        self.prefilled = False
        self.decode_in_progress = False
        self.verdict = Verdict.NOT_RUN
        self.decode_sent_at = None

    @property
    def may_have_run(self):
        """Whether a decode server runs the stream, has run it, or may have."""
        return self.decode_in_progress or self.verdict is not Verdict.NOT_RUN

    def note_ended(self, refusal):
        """Records the `Refusal` with which an attempt has ended."""
        if refusal.verdict is not Verdict.NOT_RUN:
            self.verdict = refusal.verdict

    def note_sent(self):
        """Counts an attempt whose request was sent."""
        self._attempt_count += 1

    def note_decode_sent(self):
        """Counts an attempt whose request was sent to a decode server."""
        self.note_sent()
        self.decode_in_progress = True
        self.decode_sent_at = self._ctx.clock.monotonic()

    def note_prefill_computed(self):
        """Records that a prefill server has computed the prompt."""
        if self.prefilled:
            self._attempt_count += 1
        self.prefilled = True

    def note_prefill_lost(self):
        """Records a prefill without an answer, which the server may have accepted."""
        self.note_prefill_computed()

    def has_attempts_left(self):
        """Returns whether the route allows another attempt."""
        return self._attempt_count < self._call.route.max_attempts

    def must_skip_prefill(self):
        """Returns whether a second prefill would leave no attempt for the decode."""
        return (
            self.prefilled and self._call.route.max_attempts - self._attempt_count < 2
        )

    def withdraw_repeat(self, refusal, prefill_again=True):
        """Returns whether another attempt may start, and takes it from the budget.

        Args:
            refusal: `Refusal` that ended the last attempt.
            prefill_again: Whether the prompt would be computed again.
        """
        if not self._is_repeat_allowed(refusal):
            return False
        needs_budget = self._attempt_count > 0 or (prefill_again and self.prefilled)
        return not needs_budget or self._budget().withdraw()

    def may_repeat(self, refusal):
        """Returns whether another attempt may start beside one that was sent.

        Nothing is taken from the budget.

        Args:
            refusal: `Refusal` that would end the attempt that was sent.
        """
        return self._is_repeat_allowed(refusal) and self._budget().has_left()

    def _is_repeat_allowed(self, refusal):
        may_have_run = refusal.verdict is not Verdict.NOT_RUN
        if (
            may_have_run and not self._call.route.repeatable
        ) or not self.has_attempts_left():
            return False
        if may_have_run and self._ctx.crashes.may_crash_again(self._call):
            return False
        return not self._ctx.crashes.is_quarantined(self._call)

    def _budget(self):
        return self._ctx.budget(self._call.service.name)

    def note_failed(self, server, exc, sent, began=False):
        """Records an exchange that broke.

        Args:
            server: `BackendServer` of the exchange.
            exc: `ExchangeBroken` that was raised.
            sent: Whether the request was sent.
            began: Whether its decode server had just begun the answer.
        """
        self.excluded.add(server.name)
        if sent:
            self._ctx.outcomes.note_failed(server.name)
            self._ctx.crashes.note_broken(self._call, server, exc, began)
        elif not isinstance(exc, SendForbidden):
            self._ctx.outcomes.note_unreachable(server.name)
        log_event(
            "attempt_failed",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            reason=exc.reason,
        )

    def note_handle_refused(self, server, prefill):
        """Records that a decode server with free memory did not fetch the KV cache.

        Args:
            server: `BackendServer` that refused.
            prefill: `BackendServer` that keeps the KV cache.
        """
        self._ctx.handles.note_fetch_refused(prefill.name, server.name)
        self._ctx.outcomes.note_refused(server.name)
        inspect_refusal(self._ctx, server, self._call.service.engine)
        log_event(
            "handle_refused",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            prefill=prefill.name,
        )

    def note_refused(self, server, head):
        """Records a server's refusal or failure.

        Args:
            server: `BackendServer` that answered.
            head: `AnswerHead` of the answer.
        """
        self.excluded.add(server.name)
        if head.traits.misdirected:
            # Another server has the address: the intended one got nothing.
            self._attempt_count -= 1
            self._ctx.backends.forget(server.name)
            self._ctx.connections.drop_server(server.name)
        elif head.traits.not_run:
            self._ctx.outcomes.note_refused(server.name)
            inspect_refusal(self._ctx, server, self._call.service.engine)
        self._ctx.outcomes.note_failed(server.name)
        log_event(
            "server_refused",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            status=head.status,
            not_run=head.traits.not_run,
        )
