"""Looks at sockets without reading from them."""

import socket

__all__ = ["peek"]


def peek(sock):
    """Returns what waits on a socket: None for nothing, else its first byte.

    The result is empty if the peer has closed the connection or it is broken. The
    socket blocks afterwards.
    """
    # gevent waits for input unless the socket's own timeout is zero.
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        # A reset is an end like any other to who only looks.
        return b""
    finally:
        sock.settimeout(None)
