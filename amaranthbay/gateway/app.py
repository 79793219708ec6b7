"""Falcon application of a daemon."""

import falcon

from amaranthbay.gateway.callers import ChatCompletions, Completions, PlainCalls
from amaranthbay.gateway.lookup import Lookup
from amaranthbay.gateway.operators import Drain, Status
from amaranthbay.gateway.replies import write_refusal
from amaranthbay.kernel.errors import Reason, may_have_run, not_run
from amaranthbay.observe import log_event

__all__ = ["create_app"]


def create_app(daemon):
    """Returns the WSGI application.

    Args:
        daemon: Object with ``pipeline``, ``settings``, ``lookup`` and ``status``.
    """
    app = falcon.App()
    app.add_error_handler(Exception, _on_defect)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    app.add_route("/v1/lookup", Lookup(daemon))
    app.add_route("/v1/completions", Completions(daemon))
    app.add_route("/v1/chat/completions", ChatCompletions(daemon))
    app.add_route("/v1/services/{service}/{path:path}", PlainCalls(daemon))
    app.add_route("/v1/status", Status(daemon))
    app.add_route("/v1/drain", Drain(daemon))
    return app


def _on_defect(req, resp, exc, params):
    log_event("defect", level="error", exc=exc, path=req.path)
    detail = "internal error"
    write_refusal(req, resp, may_have_run(Reason.INTERNAL, detail, status=500))


def _on_http_error(req, resp, exc, params):
    detail = exc.description or exc.title or "bad request"
    refusal = not_run(Reason.BAD_REQUEST, detail, status=exc.status_code)
    write_refusal(req, resp, refusal)
