"""Tests of the shares of requests and of time that a soak run counts as served."""

import signal
from types import SimpleNamespace

from amaranthbay.platform.tests.soak.callers import Exchange
from amaranthbay.platform.tests.soak.processes import EntryProcess, UpTime
from amaranthbay.platform.tests.soak.shares import (
    answering_share,
    lowest_answering_share,
    served_share,
)
from amaranthbay.utils.testing import collect


def exchange(sent_at, status=200, kind="look", **fields):
    """Returns an exchange of 10 ms with a complete answer; without one if the status
    is None."""
    fields = {"complete": status is not None, "process": "entry-1"} | fields
    times = {"sent_at": sent_at, "ended_at": sent_at + 0.01}
    return Exchange("a1", kind, target="/", status=status, **times, **fields)


def process(*up_times):
    """Returns an entry process that was up in pairs of times."""
    popen = SimpleNamespace(poll=lambda: 0)
    spans = [UpTime(*each) for each in up_times]
    return EntryProcess("entry-1", None, None, None, None, "", popen, up_times=spans)


def served(exchanges, *up_times):
    return served_share(exchanges, {"entry-1": process(*up_times)})


def test_served_share_does_not_depend_on_the_speed_of_refusals(case):
    """Guards against a check that fails on machines on which callers repeat refused
    requests more often."""
    answered = [exchange(0.5 * slot) for slot in range(8)]
    for count in (1, 40):
        refused = [exchange(4 + 0.012 * number, 503) for number in range(count)]
        case.assertAlmostEqual(served([*answered, *refused], (0.0,)), 8 / 9)


def test_requests_to_processes_that_are_down_count_as_time_only(case):
    """Guards against a share that counts how often callers try a port in vain."""
    answered = [exchange(0.5 * slot) for slot in range(6)]
    failed = [exchange(3 + 0.012 * number, None) for number in range(80)]
    case.assertEqual(served([*answered, *failed], (0.0, 3.0)), 1.0)
    case.assertEqual(answering_share([*answered, *failed]), 6 / 8)


def test_process_that_starts_slowly_is_detected(case):
    """Guards against a process that is down for long while others serve, which neither
    of the other shares shows."""
    exchanges = [exchange(0.5 * slot) for slot in range(8)]
    exchanges += [exchange(0.1 * n, None, process="entry-2") for n in range(30)]
    exchanges += [exchange(3.0, process="entry-2"), exchange(3.5, process="entry-2")]
    case.assertEqual(answering_share(exchanges), 1.0)
    names = ["entry-1", "entry-2"]
    case.assertEqual(lowest_answering_share(exchanges, names), 2 / 8)
    case.assertEqual(lowest_answering_share(exchanges, [*names, "entry-3"]), 0.0)
    case.assertEqual(lowest_answering_share([], names), 0.0)


def test_refusals_of_a_serving_process_are_detected(case):
    """Guards against refusals, connections without an answer and processes that end by
    themselves, none of which may raise the share."""
    for status in (503, 502, None):
        exchanges = [exchange(0.1 * n, status if n % 2 else 200) for n in range(40)]
        case.assertLess(served(exchanges, (0.0,)), 0.7)
    cut = [exchange(0.1 * n, complete=False) for n in range(40)]
    case.assertEqual(served(cut, (0.0,)), 0.0)
    case.assertEqual(answering_share(cut), 0.0)


def test_one_refused_kind_of_request_is_detected(case):
    """Guards against a kind that is never served beside others that are."""
    exchanges = [exchange(0.1 * n) for n in range(40)]
    exchanges += [exchange(0.5 * n, 503, "pay") for n in range(8)]
    case.assertAlmostEqual(served(exchanges, (0.0,)), 0.5)


def test_crashing_and_abandoned_requests_do_not_count(case):
    """Guards against requests that nobody could have served."""
    exchanges = [exchange(0.0), exchange(0.1, None, abandoned=True)]
    case.assertEqual(served(exchanges, (0.0,)), 1.0)
    case.assertEqual(served([], (0.0,)), 0.0)
    case.assertEqual(answering_share([]), 0.0)


def test_up_time_ends_with_a_signal_only(case):
    """Guards against an up time that ends when a process crashes, or on a reload."""
    entry = process()
    entry.note_start()
    entry.note_start()
    started_at = entry.up_times[0].started_at
    entry.signal(signal.SIGHUP)
    case.assertTrue(entry.was_up(started_at, started_at + 1000))
    entry.signal(signal.SIGTERM)
    entry.signal(signal.SIGKILL)
    case.assertFalse(entry.was_up(started_at, started_at + 1000))
    entry.note_start()
    case.assertEqual(len(entry.up_times), 2)


load_tests = collect(globals())
