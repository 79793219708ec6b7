"""What a stream's output passes to the connection of its caller."""

from types import SimpleNamespace
from unittest import mock

from amaranthbay.relay.output import StreamOutput
from amaranthbay.utils.testing import collect


def test_whole_answer_may_yield_its_memory(case):
    """Guards against a slow reader of an error answer on a stream route whose memory
    is never freed in a shortage."""
    conn, codec = mock.MagicMock(), mock.MagicMock()
    output = StreamOutput(conn, codec, mock.MagicMock(), None, mock.MagicMock())
    body = SimpleNamespace(data=bytearray(b"x"), message=object())
    output.send_whole(mock.MagicMock(status=500), body)
    case.assertIs(conn.answer.call_args.kwargs["message"], body.message)
    case.assertEqual(conn.answer.call_args.args[2], b"x")


load_tests = collect(globals())
