"""Writes log lines as JSON objects through absl.logging.

Log lines must not contain prompts, answers or keys.
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

# A line lists this many candidates and only counts the rest, to bound its length.
MAX_LISTED_CANDIDATES = 5

# Level of a process that has not configured one, such as an operator command.
UNCONFIGURED_LEVEL = "warning"

# Fields on every line.
_identity = {}
# Not empty once logging is configured.
_configured = []
# The `LineLimiter` in use, or empty.
_limiter = []


class _JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record):
        created = datetime.fromtimestamp(record.created, timezone.utc)
        line = {"time": created.isoformat(), "level": record.levelname.lower()}
        line |= _identity
        fields = getattr(record, "fields", None)
        line |= fields if fields else {"event": "message", "text": record.getMessage()}
        if record.exc_info:
            line["error"] = record.exc_info[0].__name__
            line["trace"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def limit_lines(limiter):
    """Limits the rate of each event with a `LineLimiter`; None removes the limit."""
    _limiter[:] = [limiter] if limiter is not None else []


def configure_logs(level="info", stream=None, **identity):
    """Sets the level and the stream of the log, and the fields on every line.

    Args:
        level: Least important level that is written: ``debug``, ``info``,
            ``warning`` or ``error``.
        stream: Text stream to write to; standard error if None.
        **identity: Fields that identify the process, such as ``instance``,
            ``availability_zone`` and ``incarnation``.
    """
    _configured.append(True)
    _identity.clear()
    _identity.update(identity)
    # Until its flags are parsed, absl ignores the stream and writes a plain-text
    # warning. This program uses settings instead of absl's flags.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    handler = absl_logging.get_absl_handler()
    handler.use_absl_log_file = None
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(_JsonFormatter())
    absl_logging.set_verbosity(level)


def log_event(event, level="info", exc=None, **fields):
    """Writes one log line.

    Args:
        event: Name of the event, as listed in docs/logs.md.
        level: ``debug``, ``info``, ``warning`` or ``error``.
        exc: Exception or ``exc_info`` tuple whose type and traceback the line includes,
            or None.
        **fields: Further fields of the line.
    """
    if not _configured:
        # Without the JSON handler, absl writes plain text and a warning about flags.
        configure_logs(UNCONFIGURED_LEVEL)
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
        chosen: Name or names of what was chosen; None if nothing was.
        candidates: Names of everything that was considered.
        reason: Why this choice was made.
        **fields: Further fields, such as request and attempt ids.
    """
    names = tuple(candidates)
    log_event(
        "decision",
        decision=decision,
        chosen=chosen,
        candidates=names[:MAX_LISTED_CANDIDATES],
        candidate_count=len(names),
        reason=reason,
        **fields,
    )


def log_greenlet_failures():
    """Logs exceptions that end a greenlet as JSON lines.

    By default, gevent prints a plain-text traceback between the JSON lines.
    """

    def log_failure(context, kind, value, trace):
        log_event("defect", level="error", exc=(kind, value, trace))

    gevent.get_hub().print_exception = log_failure
