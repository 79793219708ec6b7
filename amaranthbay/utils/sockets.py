"""Inspects sockets without consuming their data."""

import socket

__all__ = ["has_input", "peek"]


def peek(sock):
    """Returns the first unread byte of a socket, or None if there is none.

    The result is empty if the peer has closed the connection or the connection is
    broken. The socket is left in blocking mode.
    """
    # gevent waits for data unless the timeout of the socket is zero.
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        # A reset is reported like a closed connection.
        return b""
    finally:
        sock.settimeout(None)


def has_input(sock):
    """Returns whether a gevent socket has unread input.

    Unlike `peek`, this costs one system call and keeps the timeout of the socket.
    """
    try:
        return bool(sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
