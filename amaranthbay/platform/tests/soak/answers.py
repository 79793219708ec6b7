"""Answers of servers of the soak that the stand-ins do not offer, byte by byte."""

import h11
from gevent import socket

from amaranthbay.platform.tests.soak.links import RESET_OPTION

__all__ = ["reset_at_close", "second_answer", "send_refusal"]


def second_answer(server):
    """Returns the bytes of an answer that belongs to no request."""
    body = b"nobody asked " + server.encode()
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    conn.next_event()
    headers = [
        ("X-Attempt-Id", "ffffffffffffffff"),
        ("X-Response-Stamp", f"stamp-{server}"),
        ("Content-Length", str(len(body))),
    ]
    return conn.send(h11.Response(status_code=200, headers=headers)) + conn.send(
        h11.Data(data=body)
    )


def send_refusal(sock):
    """Writes a refusal which states that a request was not run.

    Args:
        sock: Socket on which the request arrived.
    """
    sock.sendall(
        b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )


def reset_at_close(sock):
    """Makes the close of a socket send a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_OPTION)
