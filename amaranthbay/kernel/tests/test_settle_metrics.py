"""Metrics that are counted when a request is settled."""

from amaranthbay.kernel.pipeline import SettlingChunks
from amaranthbay.kernel.requests import CallerRequest, Work
from amaranthbay.observe.tests.test_metrics import record_metrics
from amaranthbay.utils.testing import ManualClock, collect


def settle(case, gaps, deadline=1.0, between_tokens_s=0.1, read=None):
    """Reads an answer whose chunks arrive after the given gaps; returns the metrics.

    Args:
        case: Test case.
        gaps: Seconds before each chunk.
        deadline: Monotonic time at which the first chunk is due.
        between_tokens_s: Target for the mean gap between chunks.
        read: Number of chunks to read before the answer is closed; None for all.
    """
    metrics = record_metrics(case)
    clock = ManualClock()

    def chunks():
        for gap in gaps:
            clock.advance(gap)
            yield b"x"

    request = CallerRequest("r", "summary", "ws", "counter", None)
    work = Work(request, True, deadline, True, clock.monotonic())
    settling = SettlingChunks(work, chunks(), lambda: None, clock, between_tokens_s)
    for _ in range(len(gaps) + 1 if read is None else read):
        next(settling, None)
    settling.close()
    return metrics


def test_answer_within_both_targets_is_goodput(case):
    """Guards against an answer that misses one target and counts as goodput."""
    case.assertEqual(settle(case, [0.9, 0.05, 0.05]).good, ["summary"])
    case.assertEqual(settle(case, [1.1, 0.05, 0.05]).good, [])
    case.assertEqual(settle(case, [0.9, 0.05, 0.2]).good, [])
    case.assertEqual(settle(case, [9.0, 9.0], None, None).good, ["summary"])


def test_each_request_ends_once(case):
    """Guards against a request that is counted twice or not at all."""
    answered = settle(case, [0.1, 0.1])
    case.assertEqual(answered.ended, [("summary", "ran", "answered")])
    closed = settle(case, [0.1, 0.1], read=1)
    case.assertEqual(closed.ended, [("summary", "may_have_run", "closed")])
    case.assertEqual(closed.good, [])


load_tests = collect(globals())
