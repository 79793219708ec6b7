"""The attempts of one stream: what was sent, who is left out, what may follow."""

from amaranthbay.kernel.errors import Verdict
from amaranthbay.observe import log_event
from amaranthbay.relay.switches import inspect

__all__ = ["StreamAttempts"]


class StreamAttempts:
    """Counts the attempts of a stream and notes what came of them.

    The first prefill that a server accepts counts for nothing. Further ones count as
    attempts, and so do refused prefills and each decode that was sent.

    Attributes:
        without: Names of servers that are not used again for this stream.
        prefilled: Whether a server has computed the prompt, or may have.
    """

    def __init__(self, ctx, call):
        self._ctx = ctx
        self._call = call
        self._count = 0
        self.without = set()
        self.prefilled = False

    def sent(self):
        """Counts an attempt."""
        self._count += 1

    def computed(self):
        """Notes that a prefill server has computed the prompt."""
        if self.prefilled:
            self._count += 1
        self.prefilled = True

    def prefill_lost(self):
        """Notes a prefill without an answer, which a server may have accepted."""
        self.computed()

    def is_left(self):
        """Returns whether the route allows another attempt."""
        return self._count < self._call.route.max_attempts

    def only_decode_is_left(self):
        """Returns whether a second prefill would use up the last attempt."""
        return self.prefilled and self._call.route.max_attempts - self._count < 2

    def may_repeat(self, refusal, prefill_again=True):
        """Returns whether another attempt is allowed, and counts it as a repeat.

        Args:
            refusal: Why the last attempt ended.
            prefill_again: Whether the prompt would be computed once more.
        """
        ran = refusal.verdict is not Verdict.NOT_RUN
        if (ran and not self._call.route.repeatable) or not self.is_left():
            return False
        if self._ctx.crashes.is_dangerous(self._call):
            return False
        counted = self._count > 0 or (prefill_again and self.prefilled)
        return not counted or self._ctx.budget(self._call.service.name).withdraw()

    def failed(self, server, exc, sent):
        """Notes an exchange that broke.

        Args:
            server: `BackendServer`.
            exc: `ExchangeBroken`.
            sent: Whether the request was sent.
        """
        self.without.add(server.name)
        if sent:
            self._ctx.outcomes.failed(server.name)
            self._ctx.crashes.note_broken(self._call, server, exc)
        else:
            self._ctx.outcomes.unreachable(server.name)
        log_event(
            "attempt_failed",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            reason=exc.reason,
        )

    def handle_refused(self, server, prefill):
        """Notes a decode server with room that did not fetch a computed prompt.

        Args:
            server: `BackendServer` that refused.
            prefill: `BackendServer` that has computed the prompt.
        """
        self._ctx.handles.missed(prefill.name, server.name)
        self._ctx.outcomes.refused_run(server.name)
        inspect(self._ctx, server, self._call.service.engine)
        log_event(
            "handle_refused",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            prefill=prefill.name,
        )

    def refused(self, server, head):
        """Notes a server's refusal or failure by the `AnswerHead`."""
        self.without.add(server.name)
        if head.traits.misdirected:
            # The server that was meant is gone and was sent nothing.
            self._count -= 1
            self._ctx.backends.forget(server.name)
            self._ctx.connections.drop_server(server.name)
        elif head.traits.not_run:
            self._ctx.outcomes.refused_run(server.name)
            inspect(self._ctx, server, self._call.service.engine)
        self._ctx.outcomes.failed(server.name)
        log_event(
            "server_refused",
            level="warning",
            request_id=self._call.request_id,
            backend_server=server.name,
            status=head.status,
            not_run=head.traits.not_run,
        )
