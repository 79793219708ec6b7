"""Inspects sockets without consuming their data, and bounds what the kernel holds."""

import fcntl
import socket
import struct
import sys

__all__ = [
    "has_input",
    "limit_unread",
    "limit_unsent",
    "peek",
    "reset_on_close",
    "unread_bytes",
    "unsent_bytes",
]

# Requests of ioctl for the bytes that have not been read, and for those that the peer
# has not acknowledged, as in Linux.
_UNREAD_REQUEST, _UNSENT_REQUEST = 0x541B, 0x5411
_COUNT = struct.Struct("i")
# Option of TCP in Linux; older versions of Python don't name it.
TCP_NOTSENT_LOWAT = 25


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


def limit_unsent(sock, count):
    """Bounds the bytes that wait in the kernel until the network can take them.

    Bytes that are on their way don't count, so that a far peer gets them as fast as
    its link carries them. The kernel may hold one packet more.

    Args:
        sock: TCP socket.
        count: Number of the bytes.
    """
    _set_option(sock, socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, count)


def limit_unread(sock, count):
    """Bounds the bytes that the kernel holds until they are read.

    The kernel then no longer adapts this number to the link: a peer sends up to half
    of it in one round trip.

    Args:
        sock: TCP socket.
        count: Number of the bytes.
    """
    # The kernel doubles the value.
    _set_option(sock, socket.SOL_SOCKET, socket.SO_RCVBUF, count // 2)


def reset_on_close(sock, enabled=True):
    """Sets whether a close drops what the peer has not taken, and resets it."""
    linger = struct.pack("ii", int(enabled), 0)
    _set_option(sock, socket.SOL_SOCKET, socket.SO_LINGER, linger)


def unread_bytes(sock):
    """Returns the bytes that the kernel holds until they are read."""
    return _query_bytes(sock, _UNREAD_REQUEST)


def unsent_bytes(sock):
    """Returns the bytes that the kernel holds until a peer has acknowledged them."""
    return _query_bytes(sock, _UNSENT_REQUEST)


def _query_bytes(sock, req):
    if sys.platform != "linux":
        return 0
    try:
        return _COUNT.unpack(fcntl.ioctl(sock.fileno(), req, bytes(_COUNT.size)))[0]
    except OSError:
        # The socket is closed, or the system has no such request.
        return 0


def _set_option(sock, level, name, value):
    """Sets an option; a system without it, or a socket that is gone, goes without."""
    try:
        sock.setsockopt(level, name, value)
    except OSError:
        pass
