"""Splitting of event streams, whatever their line ends and however they are cut."""

from hypothesis import given, settings, strategies as st

from amaranthbay.relay.events import MAX_EVENT_BYTES, EventSplitter
from amaranthbay.utils.testing import collect

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
COMMENTS = st.sampled_from([(), (b": ping",), (b":", b": ping")])


def event(number, line_end, comments=()):
    """Returns the bytes of one event with lines of comments before it."""
    lines = (*comments, b"id: %d" % number, b"data: piece %d" % number, b"")
    return b"".join(line + line_end for line in lines)


@st.composite
def streams(draw):
    """Draws the events of a stream in bytes, each with line ends of one kind."""
    count = draw(st.integers(1, 5))
    return [
        event(number, draw(LINE_ENDS), draw(COMMENTS)) for number in range(1, count + 1)
    ]


def parts_of(data, cuts):
    """Yields bytes in parts, whose sizes are repeated as often as needed."""
    while data:
        for size in cuts:
            yield data[:size]
            data = data[size:]


@settings(derandomize=True, max_examples=300)
@given(streams(), st.lists(st.integers(1, 30), min_size=1, max_size=5))
def test_events_are_passed_on_at_their_end_with_any_line_ends(case, whole, cuts):
    """Guards against events that are cut, changed or held back because of the line ends
    or of where the bytes are split."""
    splitter, fed, output = EventSplitter(), b"", b""
    for part in parts_of(b"".join(whole), cuts):
        fed += part
        output += splitter.feed(part)
        arrived = b""
        for each in whole:
            if not fed.startswith(arrived + each):
                break
            arrived += each
        case.assertEqual(output, arrived)
    case.assertEqual(splitter.finish(), b"")
    case.assertFalse(splitter.has_partial())
    case.assertEqual(splitter.last_id, len(whole))


def test_event_with_fields_of_the_server_is_passed_on(case):
    """Guards against breaking off a stream in which an event names, for example, the
    version of the weights, and against passing on the head of an answer."""
    splitter = EventSplitter()
    named = b"x-weight-versions: 7\nid: 1\ndata: piece 1\n\n"
    case.assertEqual(splitter.feed(named), named)
    case.assertIsNone(splitter.fault)
    case.assertEqual(splitter.feed(b"content-type: text/plain\nserver: x\n\n"), b"")
    case.assertEqual(splitter.fault, "not_an_event")


@settings(derandomize=True, max_examples=300)
@given(streams(), st.data())
def test_stream_that_ends_inside_an_event_is_recognized(case, whole, data):
    """Guards against taking a stream for complete although its last event is cut."""
    stream = b"".join(whole)
    end = data.draw(st.integers(0, len(stream)))
    splitter, arrived = EventSplitter(), b""
    output = splitter.feed(stream[:end]) + splitter.finish()
    for each in whole:
        if len(arrived + each) > end:
            break
        arrived += each
    rest = stream[len(arrived) : end]
    # The events have no blank lines; comments may come before their id.
    partial = b"id" in rest or not rest.endswith((b"\n", b"\r")) and rest != b""
    case.assertEqual(splitter.has_partial(), partial)
    case.assertEqual(output, arrived if partial else stream[:end])


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(1, 5),
    st.integers(1, 9),
    st.booleans(),
    st.lists(st.integers(1, 30), min_size=1, max_size=5),
)
def test_only_the_next_event_continues_a_stream(case, last_id, first_id, named, cuts):
    """Guards against lost and repeated events, and bytes that are no events, after
    another server has taken over."""
    splitter = EventSplitter()
    begun = b"".join(event(number, b"\n") for number in range(1, last_id + 1))
    output = splitter.feed(begun + b"id: 99\nda")
    splitter.switch_server()
    rest = [event(number, b"\n") for number in range(first_id, 10)]
    if not named:
        rest = [b"data: text\n\n", *rest]
    continues = named and first_id <= last_id + 1
    for part in parts_of(b"".join(rest) + b"text\n\n", cuts):
        output += splitter.feed(part)
    expected = [event(number, b"\n") for number in range(last_id + 1, 10)]
    case.assertEqual(output, begun + b"".join(expected if continues else ()))
    fault = "not_an_event" if continues else "not_continued"
    case.assertEqual((splitter.fault, splitter.caught_up), (fault, continues))


def test_byte_order_mark_is_no_fault(case):
    """Guards against rejecting a stream that begins with a byte order mark, and against
    overlooking the id of its first event."""
    splitter = EventSplitter()
    stream = b"\xef\xbb\xbf" + event(1, b"\n") + event(2, b"\n")
    case.assertEqual(splitter.feed(stream), stream)
    case.assertEqual(splitter.last_id, 2)
    splitter.switch_server()
    case.assertEqual(splitter.feed(b"\xef\xbb\xbf" + event(2, b"\n")), b"")
    case.assertEqual(splitter.feed(event(3, b"\n")), event(3, b"\n"))


def test_bytes_without_an_event_are_not_collected_for_ever(case):
    """Guards against a process that spends its memory and time on the body of one
    server that sends no blank line."""
    splitter, size = EventSplitter(), 0
    while splitter.fault is None:
        splitter.feed(b"x" * 65536)
        size += 65536
        case.assertLessEqual(size, 2 * MAX_EVENT_BYTES)
    case.assertEqual(splitter.feed(b"\n\n"), b"")


load_tests = collect(globals())
