"""Reads the key of a caller's workspace from a request."""

from amaranthbay.config.workspaces import key_digest

__all__ = ["read_credentials"]

SCHEME = "bearer"


def read_credentials(req):
    """Returns digests of the keys that a request carries, in bytes.

    Only digests go further, so that a key can't reach a backend server or a log line. A
    repeated header is one text with a comma, and so an unknown key.

    Args:
        req: Falcon request.
    """
    header = req.get_header("Authorization", default="")
    scheme, _, key = header.partition(" ")
    key = key.strip(" ")
    if scheme.lower() != SCHEME or not key:
        return ()
    return (key_digest(key.encode("latin-1", "replace")).encode(),)
