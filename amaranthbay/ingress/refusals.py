"""Answers to connections that find no place."""

from amaranthbay.utils.sockets import has_input

__all__ = ["NO_PLACE_ANSWER", "SHORTAGE_RETRY_S", "refuse_connection"]

# Time after which a caller may send a request again that found no memory or place.
SHORTAGE_RETRY_S = 0.5
# Answer to a connection that finds no place.
NO_PLACE_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %g\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n" % SHORTAGE_RETRY_S
)
# Input that is read before the close.
INPUT_BYTES = 65536


def refuse_connection(sock):
    """Refuses a new connection without waiting, and closes it."""
    sock.settimeout(0)
    try:
        # Unread input would turn the close into a reset.
        if has_input(sock):
            sock.recv(INPUT_BYTES)
        sock.sendall(NO_PLACE_ANSWER)
    except OSError:
        pass
    sock.close()
