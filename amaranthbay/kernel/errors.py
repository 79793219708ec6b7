"""Verdicts, refusals and exceptions.

Components report errors about a request to each other as a `Refusal` only.
"""

from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum

__all__ = [
    "AmaranthbayError",
    "CallerGone",
    "Fault",
    "ProcessStops",
    "Reason",
    "Refusal",
    "SettingsError",
    "UnknownPlugin",
    "Verdict",
    "may_have_run",
    "not_run",
]


class Verdict(StrEnum):
    """Whether a request that was refused or has ended ran on a backend server.

    Attributes:
        NOT_RUN: No server ran any part of it, so a repetition is safe.
        MAY_HAVE_RUN: It was sent to a server, and may have run in part or whole.
        RAN: It certainly ran, even if its answer is not available.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Reason(StrEnum):
    """Reason code of a refusal; operators count refusals by it.

    The codes that begin with ``KEY_`` are about the Idempotency-Key of a call.

    Attributes:
        OUTCOME_UNKNOWN: An earlier call under the same key has no recorded outcome.
        CONFIGURATION_UNCONFIRMED: The daemon's configuration may be out of date.
        QUARANTINED: The request has crashed servers, and is not run any more.
        SUSPECT_WAITING: The request may crash servers, and a chosen server already
            runs another such request.
        ORIGIN_UNKNOWN: A stream can't go on, as it is not known which software version
            began it.
    """

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_CALLER = "unknown_caller"
    TOO_LARGE = "too_large"
    KEY_REQUIRED = "key_required"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    NO_BACKEND_SERVER = "no_backend_server"
    OVERLOADED = "overloaded"
    WOULD_MISS_TARGET = "would_miss_target"
    QUARANTINED = "quarantined"
    SUSPECT_WAITING = "suspect_waiting"
    BACKEND_FAILED = "backend_failed"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_SLOW = "backend_slow"
    STREAM_BROKEN = "stream_broken"
    ORIGIN_UNKNOWN = "origin_unknown"
    CALLER_GONE = "caller_gone"
    UNAUTHENTICATED = "unauthenticated"
    QUOTA_EXCEEDED = "quota_exceeded"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Refusal:
    """The reason why a request failed, and whether it may have run.

    Attributes:
        verdict: Whether the request may have run.
        reason: Reason code, counted in metrics.
        detail: One sentence for people; contains no prompt, answer or key.
        status: HTTP status for the caller.
        retry_after: Delay before a retry; None if a retry can't succeed.
        addresses: ``host:port`` of other daemons that the caller may try.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    status: int = 503
    retry_after: timedelta | None = None
    addresses: tuple[str, ...] = ()

    def with_verdict(self, verdict):
        """Returns a copy with another verdict."""
        return replace(self, verdict=verdict)


def not_run(reason, detail, status=503, retry_after=None, addresses=()):
    """Returns a refusal of a request that did not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, status, retry_after, addresses)


def may_have_run(reason, detail, status=502, retry_after=None):
    """Returns a refusal of a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, reason, detail, status, retry_after)


class AmaranthbayError(Exception):
    """Base class of the project's exceptions."""


class CallerGone(AmaranthbayError):
    """Raised in the greenlet of a request whose caller has disconnected."""


class ProcessStops(AmaranthbayError):
    """Raised in the greenlet of a request whose process is about to end."""


class UnknownPlugin(AmaranthbayError):
    """Raised when no plug-in is registered under a name."""

    def __init__(self, kind, name, registered):
        super().__init__(f"unknown {kind} {name!r}; known: {', '.join(registered)}")


@dataclass(frozen=True)
class Fault:
    """One invalid or missing value in a file.

    Attributes:
        file: Path as given by the user.
        key: Key with the tables that contain it, for example ``limits.body_bytes``.
        line: Line of the key, or of its table if the key is missing; 0 if unknown.
        value: Value in the file; empty if the key is missing.
        allowed: Description of the allowed values.
    """

    file: str
    key: str
    line: int
    value: str
    allowed: str

    def __str__(self):
        location = f"{self.file}:{self.line}" if self.line else self.file
        assignment = f" = {self.value}" if self.value else ""
        return f"{location}: {self.key}{assignment}: allowed is {self.allowed}"


class SettingsError(AmaranthbayError):
    """Raised when the settings of a process are invalid.

    Attributes:
        faults: A `Fault` for each invalid or missing value.
    """

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = tuple(faults)
