"""Attempts of a model request: one answer, right verdicts, all resources released."""

import gevent
import gevent.event
import msgspec
from hypothesis import given, settings, strategies as st
from result import Err

from amaranthbay.dispatch.model import ModelService, _AttemptRunner
from amaranthbay.dispatch.tests.fakes import DispatchHarness, FakeEngine, model_work
from amaranthbay.kernel.errors import CallerGone, Reason, Verdict, not_run
from amaranthbay.kernel.retries import Backoff, RetryBudget, run_attempts
from amaranthbay.state.crash_marks import SHARED_DEATH
from amaranthbay.utils.testing import ManualClock, collect, wait_until

STEPS = st.lists(
    st.sampled_from(("ok", "refuse", "unreachable", "lost", "garbled")), max_size=10
)
STREAM_CHANGES = st.lists(
    st.sampled_from(
        (
            None,
            lambda events: events[:3],
            lambda events: events[:-1],
            lambda events: [],
            lambda events: events[::-1],
            lambda events: [event for event in events for _ in range(2)],
        )
    ),
    max_size=6,
)


def texts_of(body):
    """Returns the texts of an SSE body, its error document and whether it ended."""
    texts, error, done = [], None, False
    for part in body.split(b"\n\n"):
        line = part.removeprefix(b"event: error\n").removeprefix(b"data: ")
        if line == b"[DONE]":
            done = True
        elif line:
            document = msgspec.json.decode(line)
            if "verdict" in document:
                error = document
            elif document["choices"][0]["finish_reason"] is None:
                texts.append(document["choices"][0]["text"])
    return texts, error, done


def assert_nothing_held(case, harness):
    """Asserts that no slot is held and no in-flight record is left."""
    wait_until(lambda: harness.cancels.outstanding == 0)
    case.assertEqual(harness.slots_held(), 0)
    case.assertEqual(len(harness.table), 0)


def assert_one_attempt(case, texts):
    """Asserts that the texts are all eight tokens of one attempt, in order."""
    case.assertEqual(len({text.split(":")[0] for text in texts}), 1)
    case.assertEqual([int(text.split(":")[1]) for text in texts], list(range(8)))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(STEPS, STREAM_CHANGES, st.booleans())
def test_no_fault_sequence_gives_a_wrong_verdict_or_answer(
    case, steps, changes, stream
):
    """Guards against ``not_run`` for work that ran, and answers of several attempts."""
    harness = DispatchHarness(FakeEngine(steps, changes))
    outcome = ModelService(harness.ctx).dispatch(model_work(stream))
    if outcome.is_err():
        refusal = outcome.unwrap_err()
        if harness.engine.ran:
            case.assertIsNot(refusal.verdict, Verdict.NOT_RUN)
        case.assertIsNotNone(refusal.retry_after)
    else:
        body = b"".join(outcome.unwrap().chunks)
        if stream:
            texts, error, done = texts_of(body)
            case.assertNotEqual(error is None, not done)
            if done:
                assert_one_attempt(case, texts)
            else:
                case.assertEqual(error["verdict"], "may_have_run")
        else:
            text = msgspec.json.decode(body)["choices"][0]["text"]
            assert_one_attempt(case, text.split())
    assert_nothing_held(case, harness)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(STEPS, STREAM_CHANGES)
def test_every_attempt_but_a_finished_one_is_cancelled(case, steps, changes):
    """Guards against a failed attempt that keeps engine memory."""
    harness = DispatchHarness(FakeEngine(steps, changes))
    outcome = ModelService(harness.ctx).dispatch(model_work(stream=False))
    assert_nothing_held(case, harness)
    cancelled = {attempt_id for _, attempt_id in harness.engine.cancelled}
    unfinished = harness.engine.ran - cancelled
    case.assertEqual(len(unfinished), 1 if outcome.is_ok() else 0)


def test_normal_end_needs_no_cancel(case):
    """Guards against two needless cancellations for each finished request."""
    harness = DispatchHarness(FakeEngine())
    answer = ModelService(harness.ctx).dispatch(model_work()).unwrap()
    b"".join(answer.chunks)
    assert_nothing_held(case, harness)
    case.assertEqual(harness.engine.cancelled, [])


def test_answer_that_is_never_read_is_released(case):
    """Guards against engine memory kept for a caller that left before reading."""
    harness = DispatchHarness(FakeEngine())
    answer = ModelService(harness.ctx).dispatch(model_work()).unwrap()
    answer.chunks.close()
    assert_nothing_held(case, harness)
    servers = {instance for instance, _ in harness.engine.cancelled}
    case.assertEqual(servers, {"prefill-1", "decode-1"})


def test_caller_that_leaves_in_the_prefill_is_cancelled(case):
    """Guards against a prefill that still runs after its caller has disconnected."""
    harness = DispatchHarness(FakeEngine())
    entered = gevent.event.Event()

    def block(attempt):
        entered.set()
        gevent.sleep(60)

    harness.engine.on_prefill = block
    job = gevent.spawn(ModelService(harness.ctx).dispatch, model_work())
    case.assertTrue(entered.wait(10))
    job.kill(CallerGone("left"), timeout=10)
    assert_nothing_held(case, harness)
    # Three cancellations on each of the two servers, as the prefill is unanswered.
    case.assertEqual(len(harness.engine.cancelled), 6)


def cancel_count(case, step):
    """Returns how often an attempt is cancelled whose decode ends as given."""
    harness = DispatchHarness(FakeEngine(["ok", step]))
    ModelService(harness.ctx).dispatch(model_work(stream=False))
    assert_nothing_held(case, harness)
    first_id = harness.engine.cancelled[0][1]
    return sum(attempt_id == first_id for _, attempt_id in harness.engine.cancelled)


def test_call_without_an_answer_is_cancelled_again(case):
    """Guards against an engine call that arrives after its only cancellation.

    After an explicit refusal a repetition is needless. The attempt is cancelled on two
    servers, and a repeated cancellation is sent three times.
    """
    case.assertEqual(cancel_count(case, "lost"), 6)
    case.assertEqual(cancel_count(case, "refuse"), 2)


def test_pause_during_the_prefill_starts_a_new_attempt(case):
    """Guards against a decode after the guards may have cancelled the attempt."""
    harness = DispatchHarness(FakeEngine())
    attempts = []

    def pause(attempt):
        attempts.append(attempt.attempt_id)
        if len(attempts) == 1:
            harness.clock.advance(25)

    harness.engine.on_prefill = pause
    answer = ModelService(harness.ctx).dispatch(model_work()).unwrap()
    texts, _, done = texts_of(b"".join(answer.chunks))
    case.assertTrue(done)
    case.assertEqual(harness.engine.decoded, attempts[1:])


def test_interactive_prefill_is_bounded_by_the_remaining_time(case):
    """Guards against a prefill that runs past the caller's deadline."""
    harness = DispatchHarness(FakeEngine())
    harness.clock.advance(0.5)
    ModelService(harness.ctx).dispatch(model_work(deadline=1.3)).unwrap()
    case.assertAlmostEqual(harness.engine.prefill_timeouts[0], 0.8)


def test_no_retry_after_the_deadline(case):
    """Guards against a backoff that delays the refusal until the deadline."""
    clock = ManualClock()
    work = model_work(deadline=1.0)
    runs = []

    def run(attempt):
        runs.append(attempt)
        clock.advance(0.9)
        return not_run_outcome()

    class FixedBackoff(Backoff):
        def delay(self, number):
            return 0.2

    outcome = run_attempts(work, run, RetryBudget(), FixedBackoff(), clock)
    case.assertLess(clock.monotonic(), 1.0)
    case.assertEqual(len(runs), 1)
    case.assertIsNotNone(outcome.unwrap_err().retry_after)


def test_budget_bounds_retries_to_a_tenth(case):
    """Guards against retries that multiply the load on a failing pool."""
    budget = RetryBudget(initial=0.0)
    runs = []

    def run(attempt):
        runs.append(attempt)
        return not_run_outcome()

    for _ in range(1000):
        run_attempts(model_work(), run, budget, Backoff(), ManualClock())
    case.assertGreater(len(runs), 1000)
    case.assertLessEqual(len(runs), 1100)


def harness_with_suspect():
    """Returns a harness in which the request of `model_work` is a suspect."""
    harness = DispatchHarness(FakeEngine())
    runner = _AttemptRunner(harness.ctx, model_work())
    harness.crashes.record_death([runner._fingerprint], SHARED_DEATH)
    return harness


def test_patient_suspect_waits_for_servers_of_its_own(case):
    """Guards against a refusal of patient suspects while another suspect runs."""
    harness = harness_with_suspect()
    harness.ctx.claims.isolate("other", "attempt-o", ["decode-1"]).unwrap()
    answer = ModelService(harness.ctx).dispatch(model_work()).unwrap()
    # The claim of the other suspect expires after 60 s.
    case.assertGreaterEqual(harness.clock.monotonic(), 60)
    b"".join(answer.chunks)
    assert_nothing_held(case, harness)


def test_interactive_suspect_is_refused_at_once(case):
    """Guards against an interactive caller that has to wait for other suspects."""
    harness = harness_with_suspect()
    harness.ctx.claims.isolate("other", "attempt-o", ["decode-1"]).unwrap()
    outcome = ModelService(harness.ctx).dispatch(model_work(deadline=1.3))
    case.assertIs(outcome.unwrap_err().reason, Reason.SUSPECT_WAITING)
    case.assertIsNotNone(outcome.unwrap_err().retry_after)
    assert_nothing_held(case, harness)


def test_suspect_that_runs_to_its_end_is_cleared_and_frees_its_claim(case):
    """Guards against claims and marks that remain after the request has finished."""
    harness = harness_with_suspect()
    answer = ModelService(harness.ctx).dispatch(model_work()).unwrap()
    case.assertIsNotNone(harness.ctx.claims.active_claim("decode-1"))
    b"".join(answer.chunks)
    wait_until(lambda: harness.ctx.claims.active_claim("decode-1") is None)
    wait_until(lambda: not harness.ctx.crashes._suspects)


def test_permanent_refusal_has_no_retry_after(case):
    """Guards against callers that retry a request that can't succeed."""

    def run(attempt):
        return not_run_outcome(status=422, reason=Reason.QUARANTINED)

    outcome = run_attempts(model_work(), run, RetryBudget(), Backoff(), ManualClock())
    case.assertIsNone(outcome.unwrap_err().retry_after)


def not_run_outcome(status=503, reason=Reason.BACKEND_REFUSED):
    """Returns an error outcome with an explicit refusal."""
    return Err(not_run(reason, "refused", status=status))


load_tests = collect(globals())
