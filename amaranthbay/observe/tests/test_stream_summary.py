"""Tests of the summary of streams and prefills from log lines."""

from tempfile import NamedTemporaryFile

import msgspec
from typer.testing import CliRunner

from amaranthbay.cli import app
from amaranthbay.observe.stream_summary import StreamOutcome, summarize_streams
from amaranthbay.utils.testing import collect


def lines(request_id, *events):
    """Returns log lines of one request; each event is a pair of name and fields."""
    return [
        {"request_id": request_id, "event": name, **fields} for name, fields in events
    ]


PREFILLED = ("prefilled", {"tokens": 100})
OPENED = ("stream_opened", {"seconds": 0.3})
ENDED = ("stream_ended", {"longest_gap_s": 0.05})
ANSWERED = ("request_ended", {"outcome": "answered"})
REFUSED = ("request_ended", {"outcome": "refused", "reason": "overloaded"})
PLACED = ("decision", {"decision": "stream_servers"})
LOG_LINES = [
    *lines("whole", PLACED, PREFILLED, OPENED, ENDED, ANSWERED),
    *lines("late", PLACED, PREFILLED, ("stream_opened", {"seconds": 1.2}), ENDED),
    *lines("gap", OPENED, ("stream_ended", {"longest_gap_s": 0.4})),
    *lines("full", PLACED, REFUSED),
    *lines("gone", PREFILLED, ("caller_gone", {}), ("request_ended", {})),
    *lines("killed", PREFILLED, OPENED),
    *lines("again", PREFILLED, ("handle_refused", {}), PREFILLED, OPENED, ENDED),
    *lines("plain", ("attempt_ended", {}), ANSWERED),
    {"event": "started"},
]


def test_each_stream_and_prompt_counts_once(case):
    """Guards against a summary that omits streams or tokens or counts them twice."""
    summary = summarize_streams(LOG_LINES, 1.0, 0.3)
    case.assertEqual(
        summary.streams,
        {
            (StreamOutcome.IN_TIME, ""): 2,
            (StreamOutcome.LATE_FIRST_EVENT, ""): 1,
            (StreamOutcome.LONG_GAP, ""): 1,
            (StreamOutcome.REFUSED, "overloaded"): 1,
            (StreamOutcome.CALLER_LEFT, ""): 1,
            (StreamOutcome.PROCESS_ENDED, ""): 1,
        },
    )
    case.assertEqual(summary.count(), 7)
    case.assertEqual(
        summary.tokens, {"": 400, "caller_gone": 100, "handle_refused": 100}
    )


def test_lines_that_were_suppressed_do_not_stop_the_summary(case):
    """Guards against a summary that fails on the logs of a process under heavy load,
    which limits its lines."""
    summary = summarize_streams(lines("busy", PLACED, ENDED, ANSWERED), 1.0, 0.3)
    case.assertEqual(summary.streams, {(StreamOutcome.IN_TIME, ""): 1})


def test_command_accounts_for_log_files(case):
    """Guards against a command that fails on some lines of a log.

    Log collectors prefix each line, and other programs write lines without JSON.
    """
    with NamedTemporaryFile("wb", suffix=".log") as file:
        file.write(b"12.1 entry-1 no json\n")
        for line in LOG_LINES:
            timed = {"time": "2026-01-01T00:00:00Z"} | line
            file.write(b"12.1 entry-1 " + msgspec.json.encode(timed) + b"\n")
        file.flush()
        result = CliRunner().invoke(app, ["streams", file.name])
    case.assertEqual(result.exit_code, 0, result.output)
    for text in ("streams: 7", "refused: overloaded", "prompt tokens: 600", "fetched"):
        case.assertIn(text, result.output)


load_tests = collect(globals())
