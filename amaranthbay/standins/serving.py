"""Runs a stand-in as a process until it is asked to stop."""

import signal
import traceback

import falcon
import gevent
import gevent.event
import msgspec

from amaranthbay.utils.serving import Server

__all__ = ["read_json", "run_server", "write_json"]


def read_json(req, reply_type):
    """Decodes a request body; answers 400 if it is not of the type."""
    try:
        return msgspec.json.decode(req.bounded_stream.read(), type=reply_type)
    except msgspec.DecodeError as exc:
        raise falcon.HTTPBadRequest(description=str(exc)) from exc


def write_json(resp, value, status=falcon.HTTP_200):
    """Encodes a reply."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = msgspec.json.encode(value)


def print_defect(req, resp, exc, params):
    """Prints the trace of a defect in a stand-in and answers 500."""
    if isinstance(exc, falcon.HTTPError):
        resp.status = exc.status
        return
    traceback.print_exception(exc)
    resp.status = falcon.HTTP_500


def run_server(address, app):
    """Serves an application until SIGTERM or SIGINT."""
    app.add_error_handler(Exception, print_defect)
    stop = gevent.event.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, stop.set)
    server = Server(address, app)
    print(f"listening {server.start()}", flush=True)
    stop.wait()
    server.stop()
