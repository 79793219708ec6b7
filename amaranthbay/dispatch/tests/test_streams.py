"""Token streams are complete or end with an error, whatever events arrive."""

from hypothesis import given, settings, strategies as st
from result import Err, Ok

from amaranthbay.dispatch.streams import BrokenStream, MatchedStream, first_event
from amaranthbay.dispatch.tests.fakes import server, token_text
from amaranthbay.dispatch.types import TokenEvent
from amaranthbay.kernel.errors import Reason, Verdict, may_have_run
from amaranthbay.kernel.requests import Attempt
from amaranthbay.utils.testing import ManualClock, collect

ATTEMPT = Attempt("request-1", "own-01", 1)
OTHER_REQUEST = Attempt("request-2", "other1", 1)
OTHER_ATTEMPT = Attempt("request-1", "retry1", 2)
SERVER = server("decode-1", "decode")

# Each connection: the events it carries, as pairs of an attempt and the position in
# its answer, and how it ends.
ATTEMPTS = st.sampled_from((ATTEMPT, ATTEMPT, ATTEMPT, OTHER_REQUEST, OTHER_ATTEMPT))
CONNECTIONS = st.lists(
    st.tuples(
        st.lists(st.tuples(ATTEMPTS, st.integers(0, 9)), max_size=25),
        st.sampled_from(("reset", "eof", "garbage", "refused", "unknown")),
    ),
    max_size=8,
)


def complete_events(attempt, count):
    """Returns all events of an answer, with the end event."""
    ids = attempt.request_id, attempt.attempt_id
    events = [
        TokenEvent(*ids, index=index, text=token_text(attempt, index))
        for index in range(count)
    ]
    return [*events, TokenEvent(*ids, done=True, count=count)]


class ScriptedEngine:
    """Engine with scripted connections; later ones carry the complete answer.

    Attributes:
        offsets: Offsets of the connections, in order.
    """

    def __init__(self, connections, count):
        self._connections = list(connections)
        self._count = count
        self.offsets = []

    def open(self):
        """Returns the events of the first connection; none if it fails."""
        outcome = self.resume(SERVER, ATTEMPT, 0)
        return outcome.unwrap() if outcome.is_ok() else iter(())

    def resume(self, server, attempt, offset):
        self.offsets.append(offset)
        if not self._connections:
            return Ok(iter(complete_events(ATTEMPT, self._count)[offset:]))
        scripted, ending = self._connections.pop(0)
        if ending == "refused":
            return Err(may_have_run(Reason.BACKEND_FAILED, "refused"))
        if ending == "unknown":
            return Err(may_have_run(Reason.STREAM_BROKEN, "unknown", status=404))
        return Ok(self._events(scripted, ending))

    def _events(self, scripted, ending):
        for attempt, position in scripted:
            events = complete_events(attempt, self._count)
            yield events[min(position, self._count)]
        if ending == "reset":
            raise ConnectionResetError("reset")
        if ending == "garbage":
            raise ValueError("unreadable event")


def read(engine, offset=0):
    """Returns the texts of a stream, and its refusal or None."""
    stream = MatchedStream(
        engine, SERVER, ATTEMPT, engine.open(), ManualClock(), offset
    )
    texts = []
    try:
        for event in stream:
            texts.append(event.text)
    except BrokenStream as exc:
        return texts, exc.refusal
    return texts, None


@settings(derandomize=True, max_examples=400, deadline=None)
@given(CONNECTIONS, st.integers(0, 9))
def test_answer_is_whole_or_ends_with_a_refusal(case, connections, count):
    """Guards against answers with missing, repeated, foreign or reordered tokens."""
    texts, refusal = read(ScriptedEngine(connections, count))
    expected = [token_text(ATTEMPT, index) for index in range(count)]
    if refusal is None:
        case.assertEqual(texts, expected)
    else:
        case.assertEqual(texts, expected[: len(texts)])
        case.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.permutations(range(8)), st.data())
def test_events_in_any_order_give_the_whole_answer(case, order, data):
    """Guards against reordered or repeated events that change the answer."""
    repeats = data.draw(st.lists(st.sampled_from(order), max_size=8))
    scripted = [(ATTEMPT, index) for index in [*order, *repeats]]
    engine = ScriptedEngine([(scripted, "eof")], 8)
    texts, refusal = read(engine)
    case.assertIsNone(refusal)
    case.assertEqual(texts, [token_text(ATTEMPT, index) for index in range(8)])


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 7), max_size=5))
def test_resumption_asks_for_the_next_token(case, cuts):
    """Guards against a resumption that skips or repeats tokens."""
    connections = [
        ([(ATTEMPT, index) for index in range(cut)], "reset") for cut in cuts
    ]
    engine = ScriptedEngine(connections, 8)
    texts, refusal = read(engine)
    case.assertEqual(len(texts), 8 if refusal is None else len(texts))
    case.assertEqual(engine.offsets, sorted(engine.offsets))


def test_events_of_another_request_are_dropped(case):
    """Guards against a caller that gets the answer of another request."""
    swapped = [(OTHER_REQUEST, index) for index in range(9)]
    texts, refusal = read(ScriptedEngine([(swapped, "eof")], 8))
    case.assertIsNone(refusal)
    case.assertEqual(texts, [token_text(ATTEMPT, index) for index in range(8)])


def test_stream_of_repeated_events_is_abandoned(case):
    """Guards against an endless stream of repeated events."""

    class Repeating(ScriptedEngine):
        def resume(self, server, attempt, offset):
            return Ok(self.repeat())

        def repeat(self):
            for _ in range(150_000):
                yield complete_events(ATTEMPT, 8)[0]
            raise AssertionError("repeated events were read without a limit")

    texts, refusal = read(Repeating([], 8))
    case.assertEqual(len(texts), 1)
    case.assertIs(refusal.reason, Reason.STREAM_BROKEN)


def test_gap_is_resumed_without_waiting_for_the_end(case):
    """Guards against a gap that is noticed only at the end of a slow stream."""
    read_past_gap = []

    def events():
        yield from (complete_events(ATTEMPT, 8)[0], complete_events(ATTEMPT, 8)[2])
        read_past_gap.append(True)
        yield complete_events(ATTEMPT, 8)[3]

    engine = ScriptedEngine([], 8)
    stream = MatchedStream(engine, SERVER, ATTEMPT, events(), ManualClock())
    case.assertEqual([event.index for event in stream], list(range(8)))
    case.assertEqual(engine.offsets, [1])
    case.assertEqual(read_past_gap, [])


def test_end_that_arrives_too_early_is_resumed(case):
    """Guards against an answer that fails if its end event is reordered."""
    early = [(ATTEMPT, 0), (ATTEMPT, 8)]
    texts, refusal = read(ScriptedEngine([(early, "eof")], 8))
    case.assertIsNone(refusal)
    case.assertEqual(texts, [token_text(ATTEMPT, index) for index in range(8)])


def test_new_token_resets_the_resume_limit(case):
    """Guards against a limit of resumptions that isn't reset by new tokens."""
    connections = [([(ATTEMPT, index)], "reset") for index in range(9)]
    texts, refusal = read(ScriptedEngine(connections, 9))
    case.assertIsNone(refusal)
    case.assertEqual(len(texts), 9)


def test_end_before_the_received_tokens_is_an_error(case):
    """Guards against an end event whose count is too low."""
    end = TokenEvent(ATTEMPT.request_id, ATTEMPT.attempt_id, done=True, count=1)
    events = iter([*complete_events(ATTEMPT, 8)[:3], end])
    stream = MatchedStream(None, SERVER, ATTEMPT, events, ManualClock())
    with case.assertRaises(BrokenStream):
        list(stream)
    case.assertFalse(stream.finished)


def test_pause_of_the_daemon_breaks_the_stream(case):
    """Guards against a stream that is not resumed after a pause of the daemon."""
    pauses = [0]

    class Cancelled(ScriptedEngine):
        def resume(self, server, attempt, offset):
            self.offsets.append(offset)
            return Err(may_have_run(Reason.STREAM_BROKEN, "unknown", status=404))

    engine = Cancelled([], 8)
    stream = MatchedStream(
        engine,
        SERVER,
        ATTEMPT,
        iter(complete_events(ATTEMPT, 8)),
        ManualClock(),
        pause_count=lambda: pauses[0],
    )
    case.assertEqual(next(stream).index, 0)
    pauses[0] = 1
    case.assertTrue(first_event(stream).is_err())
    case.assertEqual(engine.offsets, [1])


load_tests = collect(globals())
