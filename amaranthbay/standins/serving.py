"""HTTP serving that the stand-ins share."""

import signal
import traceback

import falcon
import gevent
import gevent.event
import msgspec

from amaranthbay.utils.serving import Server

__all__ = ["read_json", "run_server", "write_json"]


def read_json(req, body_type):
    """Returns the decoded JSON body of a request.

    Args:
        req: Falcon request.
        body_type: Type that the body must match.

    Raises:
        falcon.HTTPBadRequest: If the body doesn't match the type.
    """
    try:
        return msgspec.json.decode(req.bounded_stream.read(), type=body_type)
    except msgspec.DecodeError as exc:
        raise falcon.HTTPBadRequest(description=str(exc)) from exc


def write_json(resp, value, status=falcon.HTTP_200):
    """Sets a value as the JSON body of a Falcon response."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = msgspec.json.encode(value)


def handle_exception(req, resp, exc, params):
    """Responds to an HTTP error with its status and to other exceptions with 500.

    Prints the traceback of the other exceptions.
    """
    if isinstance(exc, falcon.HTTPError):
        resp.status = exc.status
        return
    traceback.print_exception(exc)
    resp.status = falcon.HTTP_500


def run_server(address, app):
    """Serves a WSGI application until SIGTERM or SIGINT.

    Prints the address to standard output once the server listens on it.
    """
    app.add_error_handler(Exception, handle_exception)
    stop_requested = gevent.event.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, stop_requested.set)
    server = Server(address, app)
    print(f"listening {server.start()}", flush=True)
    stop_requested.wait()
    server.stop()
