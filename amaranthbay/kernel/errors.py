"""Verdict type and the errors of the project.

A `Refusal` is the only way for an error about a request to leave a component.
"""

from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum

__all__ = [
    "AmaranthbayError",
    "CallerGone",
    "Fault",
    "Reason",
    "Refusal",
    "SettingsError",
    "UnknownPlugin",
    "Verdict",
    "may_have_run",
    "not_run",
]


class Verdict(StrEnum):
    """Whether a request may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Reason(StrEnum):
    """Reason code of a refusal; operators count refusals by it."""

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
    CALLER_GONE = "caller_gone"
    UNAUTHENTICATED = "unauthenticated"
    INTERNAL = "internal"


@dataclass(frozen=True)
class Refusal:
    """Why a request was not answered, and whether it may have run.

    Attributes:
        verdict: Whether the request may have run.
        reason: Code that operators count.
        detail: One sentence for people; holds no prompt, answer or key.
        status: HTTP status for the caller.
        retry_after: When to come back; None if a retry is pointless.
        addresses: Other daemons that the caller may ask.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    status: int = 503
    retry_after: timedelta | None = None
    addresses: tuple[str, ...] = ()

    def with_verdict(self, verdict):
        """Returns the same refusal under another verdict."""
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
    """Raised in the greenlet that serves a caller who has gone."""


class UnknownPlugin(AmaranthbayError):
    """Raised when a plug-in is looked up that nobody registered."""

    def __init__(self, kind, name, known):
        super().__init__(f"unknown {kind} {name!r}; known: {', '.join(known)}")


@dataclass(frozen=True)
class Fault:
    """One value in a file that is not allowed.

    Attributes:
        file: Path as the user gave it.
        key: Key with its tables, for example ``limits.body_bytes``.
        line: Line of the key, or of its table if it is missing; 0 if unknown.
        value: The value as found; empty if it is missing.
        allowed: What is allowed instead.
    """

    file: str
    key: str
    line: int
    value: str
    allowed: str

    def __str__(self):
        place = f"{self.file}:{self.line}" if self.line else self.file
        found = f" = {self.value}" if self.value else ""
        return f"{place}: {self.key}{found}: allowed is {self.allowed}"


class SettingsError(AmaranthbayError):
    """Raised when the settings of a process can't be used.

    Attributes:
        faults: A `Fault` for each value that is not allowed.
    """

    def __init__(self, faults):
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = tuple(faults)
