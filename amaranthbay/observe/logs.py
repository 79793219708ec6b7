"""Writes log lines as JSON objects through absl.logging.

No line holds a prompt, an answer or a key.
"""

import logging
import sys
from datetime import datetime, timezone

import gevent
import msgspec
from absl import flags, logging as absl_logging

__all__ = [
    "configure_logs",
    "limit_lines",
    "log_decision",
    "log_event",
    "log_greenlet_failures",
]

# Candidates past this number are counted, not listed, to bound a line's length.
LISTED_CANDIDATES = 5

# Level of a process that has not chosen one, such as a command of an operator.
DEFAULT_LEVEL = "warning"

_identity = {}
_configured = []
_limiter = []


class _JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record):
        at = datetime.fromtimestamp(record.created, timezone.utc)
        line = {"time": at.isoformat(), "level": record.levelname.lower()}
        line |= _identity
        fields = getattr(record, "fields", None)
        line |= fields if fields else {"event": "message", "text": record.getMessage()}
        if record.exc_info:
            line["error"] = record.exc_info[0].__name__
            line["trace"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def limit_lines(limiter):
    """Bounds the lines of each event with a `LineLimiter`; None ends the bound."""
    _limiter[:] = [limiter] if limiter is not None else []


def configure_logs(level="info", stream=None, **identity):
    """Sends log lines to a stream (standard error) with the process's identity.

    Args:
        level: ``debug``, ``info``, ``warning`` or ``error``.
        stream: Text stream; standard error if None.
        **identity: Fields on every line: instance, availability zone, incarnation.
    """
    _configured.append(True)
    _identity.clear()
    _identity.update(identity)
    # absl writes a plain warning and ignores the stream until its flags are parsed.
    # The program has none of them: the settings replace them.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.use_absl_log_file = None
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(_JsonFormatter())
    absl_logging.set_verbosity(level)


def log_event(event, level="info", exc=None, **fields):
    """Writes one line about something that happened."""
    if not _configured:
        # Without its handler, absl writes plain text and a warning about flags.
        configure_logs(DEFAULT_LEVEL)
    record_level = getattr(logging, level.upper())
    logger = absl_logging.get_absl_logger()
    if not logger.isEnabledFor(record_level):
        return
    if not _limiter or _limiter[0].allows(event):
        extra = {"fields": {"event": event} | fields}
        logger.log(record_level, event, extra=extra, exc_info=exc)


def log_decision(decision, chosen, candidates, reason, **fields):
    """Writes one line about a routing or placement decision.

    Args:
        decision: What was decided, for example ``"placement"``.
        chosen: What was chosen; None if nothing.
        candidates: Names of what it was chosen from.
        reason: Why.
        **fields: Request and attempt ids and further figures.
    """
    names = tuple(candidates)
    log_event(
        "decision",
        decision=decision,
        chosen=chosen,
        candidates=names[:LISTED_CANDIDATES],
        candidate_count=len(names),
        reason=reason,
        **fields,
    )


def log_greenlet_failures():
    """Writes a line for an exception that ends a greenlet.

    gevent would print a trace as plain text between the JSON lines.
    """

    def log_failure(context, kind, value, trace):
        log_event("defect", level="error", exc=(kind, value, trace))

    gevent.get_hub().print_exception = log_failure
