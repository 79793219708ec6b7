"""Reads a streamed completion, and continues it when its daemon dies."""

import msgspec

from amaranthbay.kernel.errors import AmaranthbayError

__all__ = ["CallFailed", "CompletionStream"]

RESUME_LIMIT = 3


class CallFailed(AmaranthbayError):
    """Raised when a call was not answered.

    Attributes:
        verdict: Whether the request may have run.
        problem: Problem document, if a daemon sent one.
    """

    def __init__(self, verdict, problem=None):
        super().__init__(f"{verdict}: {problem or 'no answer'}")
        self.verdict = verdict
        self.problem = problem or {}


class CompletionStream:
    """Yields the texts of one answer up to its explicit end."""

    def __init__(self, exchange, address, reopen):
        """Creates the stream.

        Args:
            exchange: `Exchange` with an open stream.
            address: Daemon that sends it.
            reopen: Function of the resume token, the number of tokens received
                and the addresses that failed; returns address and exchange, or
                raises CallFailed.
        """
        self._exchange = exchange
        self._address = address
        self._reopen = reopen
        self._token = exchange.header("X-Resume-Token")
        self._received = 0
        self._failed = set()

    def __iter__(self):
        try:
            while True:
                try:
                    for text in self._texts():
                        self._received += 1
                        yield text
                    return
                except (OSError, ValueError) as exc:
                    self._resume(exc)
        finally:
            self._exchange.close()

    def _texts(self):
        """Yields texts up to the end; raises OSError if there is none."""
        for line in self._exchange.lines():
            if line == b"data: [DONE]":
                return
            if line.startswith(b"data: "):
                document = msgspec.json.decode(line[6:])
                if "verdict" in document:
                    raise CallFailed(document["verdict"], document)
                choice = document["choices"][0]
                if choice["finish_reason"] is None:
                    yield choice["text"]
        raise ConnectionError("the stream has no end")

    def _resume(self, cause):
        """Continues the answer at another daemon."""
        self._exchange.close()
        self._failed.add(self._address)
        if self._token is None or len(self._failed) > RESUME_LIMIT:
            raise CallFailed("may_have_run") from cause
        opened = self._reopen(self._token, self._received, self._failed)
        self._address, self._exchange = opened
        self._token = self._exchange.header("X-Resume-Token")
