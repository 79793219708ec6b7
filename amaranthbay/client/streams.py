"""Reads a streamed completion; another daemon continues it if the first one dies."""

import msgspec

from amaranthbay.kernel.errors import AmaranthbayError

__all__ = ["CallFailed", "CompletionStream"]

MAX_RESUMES = 3


class CallFailed(AmaranthbayError):
    """Raised when a call was refused or got no whole answer.

    Attributes:
        verdict: Whether the request may have run, as a value of `Verdict`.
        problem: Problem document that a daemon sent, as a mapping; empty if none.
    """

    def __init__(self, verdict, problem=None):
        super().__init__(f"{verdict}: {problem or 'no answer'}")
        self.verdict = verdict
        self.problem = problem or {}


class CompletionStream:
    """Iterable of the texts of one streamed answer.

    Iteration ends at the ``[DONE]`` event; it raises CallFailed if that never comes.
    """

    def __init__(self, exchange, address, reopen):
        """Creates the stream.

        Args:
            exchange: `Exchange` of the open stream.
            address: Address of the daemon that sends it.
            reopen: Function that continues the stream at another daemon. It takes
                the resume token, the number of tokens received and the addresses
                that failed; it returns an address and an `Exchange`, or raises
                CallFailed.
        """
        self._exchange = exchange
        self._address = address
        self._reopen = reopen
        self._resume_token = exchange.header("X-Resume-Token")
        self._received_tokens = 0
        self._failed_addresses = set()

    def __iter__(self):
        try:
            while True:
                try:
                    # Each text is that of one token.
                    for text in self._texts():
                        self._received_tokens += 1
                        yield text
                    return
                except (OSError, ValueError) as exc:
                    self._resume(exc)
        finally:
            self._exchange.close()

    def _texts(self):
        """Yields the texts of one exchange up to the ``[DONE]`` event.

        Raises:
            OSError: If the connection breaks or the stream ends without this event.
            ValueError: If an event is cut off or unreadable.
            CallFailed: If the daemon sends an error event.
        """
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
        raise ConnectionError("the stream ended without [DONE]")

    def _resume(self, cause):
        """Continues the answer at another daemon.

        Args:
            cause: Exception that broke the stream.

        Raises:
            CallFailed: If the answer can't be continued.
        """
        self._exchange.close()
        self._failed_addresses.add(self._address)
        if self._resume_token is None or len(self._failed_addresses) > MAX_RESUMES:
            raise CallFailed("may_have_run") from cause
        reopened = self._reopen(
            self._resume_token, self._received_tokens, self._failed_addresses
        )
        self._address, self._exchange = reopened
        self._resume_token = self._exchange.header("X-Resume-Token")
