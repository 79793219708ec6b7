"""Falcon application that serves callers and operators of a daemon."""

import falcon
import msgspec

from amaranthbay.gateway.callers import ChatCompletions, Completions, PlainCalls
from amaranthbay.gateway.lookup import Lookup
from amaranthbay.gateway.operators import Drain, Status
from amaranthbay.gateway.replies import PROBLEM_TYPE, write_refusal
from amaranthbay.kernel.errors import CallerGone, Reason, may_have_run, not_run
from amaranthbay.kernel.problems import problem
from amaranthbay.observe import log_event

__all__ = ["create_app", "describe_malformed"]


def create_app(daemon):
    """Returns the WSGI application of a daemon.

    Args:
        daemon: `daemon.process.Daemon`, or a fake with the attributes that the
            resources use.
    """
    app = falcon.App()
    app.add_error_handler(Exception, _on_unhandled_exception)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    app.add_error_handler(CallerGone, _on_caller_gone)
    app.add_route("/v1/lookup", Lookup(daemon))
    app.add_route("/v1/completions", Completions(daemon))
    app.add_route("/v1/chat/completions", ChatCompletions(daemon))
    app.add_route("/v1/services/{service}/{path:path}", PlainCalls(daemon))
    app.add_route("/v1/status", Status(daemon))
    app.add_route("/v1/drain", Drain(daemon))
    return app


def _on_unhandled_exception(req, resp, exc, params):
    log_event("defect", level="error", exc=exc, path=req.path)
    detail = "internal error"
    write_refusal(req, resp, may_have_run(Reason.INTERNAL, detail, status=500))


def _on_caller_gone(req, resp, exc, params):
    """Writes and logs a refusal although the caller can't receive it.

    Each request is thereby logged with an outcome.
    """
    detail = "the caller closed its connection"
    write_refusal(req, resp, may_have_run(Reason.CALLER_GONE, detail, status=499))


def describe_malformed(status):
    """Logs and describes the refusal of a request that can't be parsed.

    Args:
        status: Status line of the response without the protocol, such as
            ``"400 Bad Request"``.

    Returns:
        Media type and body of the response.
    """
    code = int(status.split()[0])
    reason = Reason.BAD_REQUEST if code == 400 else Reason.TOO_LARGE
    refusal = not_run(reason, "the head of the request can't be used", status=code)
    log_event("refused", reason=reason, verdict=refusal.verdict, status=code)
    return PROBLEM_TYPE, msgspec.json.encode(problem(refusal, ""))


def _on_http_error(req, resp, exc, params):
    detail = exc.description or exc.title or "bad request"
    refusal = not_run(Reason.BAD_REQUEST, detail, status=exc.status_code)
    write_refusal(req, resp, refusal)
