"""Resumption of an attempt by another daemon."""

from dataclasses import replace
from types import SimpleNamespace

from amaranthbay.dispatch.model import ModelService
from amaranthbay.dispatch.resume import ResumePoint
from amaranthbay.dispatch.tests.fake_peers import FakePeers
from amaranthbay.dispatch.tests.fakes import DispatchHarness, FakeEngine, model_work
from amaranthbay.dispatch.tests.test_attempts import assert_nothing_held, texts_of
from amaranthbay.kernel.errors import Reason, Verdict
from amaranthbay.utils.testing import collect, wait_until
from amaranthbay.workspaces import Workspace


def test_answer_continues_from_the_same_attempt(case):
    """Guards against a resumed answer that mixes two attempts."""
    peers, engine = FakePeers("entry-1", "entry-2"), FakeEngine()
    first = DispatchHarness(engine, peers, "entry-1")
    second = DispatchHarness(engine, peers, "entry-2")
    begun = ModelService(first.ctx).dispatch(model_work()).unwrap()
    part, _, _ = texts_of(next(begun.chunks) + next(begun.chunks))
    token = dict(begun.headers)["X-Resume-Token"]
    peers.die("entry-1")
    work = model_work(resume_token=token, offset=2)
    resumed = ModelService(second.ctx).dispatch(work).unwrap()
    rest, error, done = texts_of(b"".join(resumed.chunks))
    case.assertTrue(done)
    case.assertIsNone(error)
    texts = part + rest
    case.assertEqual(len({text.split(":")[0] for text in texts}), 1)
    case.assertEqual([int(text.split(":")[1]) for text in texts], list(range(8)))
    case.assertEqual(engine.cancelled, [])
    assert_nothing_held(case, second)


def test_caller_that_leaves_a_continued_answer_is_cancelled(case):
    """Guards against a resumed attempt that is never cancelled."""
    harness = DispatchHarness(FakeEngine())
    begun = ModelService(harness.ctx).dispatch(model_work()).unwrap()
    token = dict(begun.headers)["X-Resume-Token"]
    resumed = ModelService(harness.ctx).dispatch(model_work(resume_token=token))
    resumed.unwrap().chunks.close()
    wait_until(lambda: harness.cancels.outstanding == 0)
    attempt_id = ResumePoint.decode(token).attempt_id
    case.assertIn(("decode-1", attempt_id), harness.engine.cancelled)


def test_attempt_that_cannot_be_resumed_may_have_run(case):
    """Guards against ``not_run`` for an attempt that can't be resumed."""
    attempt_id = "0" * 32
    for token in (
        "odd",
        f"{attempt_id}/decode-9/entry-1",
        f"{attempt_id}/prefill-1/entry-1",
        f"{attempt_id}/decode-1/entry-1",
    ):
        with case.subTest(token):
            harness = DispatchHarness(FakeEngine())
            outcome = ModelService(harness.ctx).dispatch(model_work(resume_token=token))
            refusal = outcome.unwrap_err()
            case.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)
            case.assertIs(refusal.reason, Reason.STREAM_BROKEN)
            case.assertEqual(refusal.status, 409)
            assert_nothing_held(case, harness)


def test_answer_is_continued_with_a_key_of_its_workspace_only(case):
    """Guards against a token made from the ids in ``/v1/status``.

    With it, each workspace could read and cancel the answers of all others.
    """

    def keyed_work(name, **fields):
        access = SimpleNamespace(workspace=Workspace(name), refusal=lambda: None)
        return replace(model_work(**fields), access=access)

    harness = DispatchHarness(FakeEngine())
    service = ModelService(harness.ctx)
    begun = service.dispatch(keyed_work("shop")).unwrap()
    token = dict(begun.headers)["X-Resume-Token"]
    (record,) = harness.ctx.inflight.records()
    shown = f"{record.attempt_id}/decode-1/entry-1"
    case.assertEqual(ResumePoint.decode(shown).attempt_id, record.attempt_id)
    for forged in (token, shown):
        refusal = service.dispatch(keyed_work("desk", resume_token=forged)).unwrap_err()
        case.assertEqual((refusal.status, refusal.reason), (409, Reason.STREAM_BROKEN))
    case.assertEqual(harness.engine.cancelled, [])
    resumed = service.dispatch(keyed_work("shop", resume_token=token))
    case.assertTrue(resumed.is_ok())


load_tests = collect(globals())
