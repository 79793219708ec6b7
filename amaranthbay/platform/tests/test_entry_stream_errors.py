"""Streams whose server, or the one that continues them, gives a bad answer."""

from amaranthbay.platform.tests.fixtures import (
    call_raw,
    entry_fixture,
    stream_request,
)
from amaranthbay.platform.tests.standins import Reply
from amaranthbay.utils.testing import collect

STAMP = b"X-Attempt-Id: a1\r\nX-Response-Stamp: s\r\n"


def events(first, last):
    """Returns the bytes of the events from one id to another."""
    return b"".join(
        f"id: {number}\ndata: piece {number}\n\n".encode()
        for number in range(first, last + 1)
    )


def framed(status_line, body, headers=STAMP):
    """Returns an answer's bytes by the framing of its body.

    Args:
        status_line: Status and reason.
        body: Bytes of the body.
        headers: Lines of further headers.
    """
    head = b"HTTP/1.1 " + status_line + b"\r\n" + headers
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    last_chunk = b"0\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    return {
        "length": head + length + body,
        "chunks": head + chunked + chunk + last_chunk,
        "neither": head + b"\r\n" + body,
    }


def first_answer(reply, path="/sum/x"):
    """Returns the `Answer` to a stream from one server with a reply.

    Args:
        reply: Function of the server and a request that returns the `Reply`.
        path: Path of the request.
    """
    with entry_fixture(plain=(), prefill=(), decode=("dec-1",)) as fixture:
        server = fixture.servers["dec-1"]
        server.replies.append(lambda req: reply(server, req))
        return call_raw(fixture.address, stream_request(path))


def begin_then(server, first_reply, next_reply):
    """Returns a reply that begins a stream, or the one that continues it."""
    return lambda req: (
        next_reply if "last-event-id" in req.headers else first_reply(server)(req)
    )


def continued_answer(case, first_reply, next_reply, path="/resume/x"):
    """Returns the `Answer` to a stream that breaks off and continues elsewhere."""
    with entry_fixture(plain=(), prefill=(), decode=("dec-1", "dec-2")) as fixture:
        for server in fixture.servers.values():
            server.replies.append(begin_then(server, first_reply, next_reply))
        answer = call_raw(fixture.address, stream_request(path))
        received = [len(server.received) for server in fixture.servers.values()]
        case.assertEqual(received, [1, 1])
    return answer


PARTIAL_EVENTS = (b"id: 3\ndata: pie", b"id: 3\ndata: piece 3\n", b"id: 3\n\r")


def test_stream_that_ends_inside_an_event_is_not_complete(case):
    """Guards against sending the end of a stream whose last event is cut, also where
    the server has sent the end."""
    replies = (
        lambda server, req, parts: server.stamped_reply(req, body=b"".join(parts)),
        lambda server, req, parts: server.stamped_reply(req, chunks=parts),
        lambda server, req, parts: server.unframed_reply(req, *parts),
    )
    for reply in replies:
        for partial in PARTIAL_EVENTS:
            parts = (events(1, 1), events(2, 2), partial)
            answer = first_answer(lambda server, req: reply(server, req, parts))
            case.assertEqual((answer.status, answer.complete), (200, False))
            case.assertEqual(answer.body, events(1, 2))


def test_resumable_stream_that_ends_inside_an_event_continues(case):
    """Guards against giving up a resumable stream whose server has ended it inside an
    event."""
    replies = (
        lambda server: lambda req: server.stamped_reply(
            req, chunks=(events(1, 2), PARTIAL_EVENTS[1])
        ),
        lambda server: lambda req: server.unframed_reply(
            req, events(1, 2), PARTIAL_EVENTS[0]
        ),
    )
    for reply in replies:
        rest = framed(b"200 OK", events(3, 4))["chunks"]
        answer = continued_answer(case, reply, Reply(raw=rest))
        case.assertEqual((answer.status, answer.complete), (200, True))
        case.assertEqual(answer.body, events(1, 4))


def test_stream_that_ends_with_its_connection_is_complete(case):
    """Guards against taking a stream without length and chunks for broken off."""
    for parts in ((events(1, 3),), (events(1, 2), events(3, 3) + b": end\n")):
        for path in ("/sum/x", "/resume/x"):
            answer = first_answer(
                lambda server, req: server.unframed_reply(req, *parts), path
            )
            case.assertEqual((answer.status, answer.complete), (200, True))
            case.assertEqual(answer.body, b"".join(parts))


def test_stream_whose_connection_is_reset_is_not_complete(case):
    """Guards against taking a reset for the end of a stream without length and
    chunks."""
    answer = first_answer(
        lambda server, req: server.unframed_reply(req, events(1, 2), reset=True)
    )
    case.assertEqual((answer.status, answer.complete), (200, False))
    case.assertEqual(answer.body, events(1, 2))


load_tests = collect(globals())
