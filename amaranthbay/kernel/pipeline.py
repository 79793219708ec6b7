"""Request pipeline: accept, classify, admit, dispatch, settle.

The service kind chooses servers for the request, sends it and streams the answer. A
request is settled when its answer has ended: it is counted and its resources released.
"""

from dataclasses import replace
from datetime import timedelta

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, Verdict, not_run
from amaranthbay.kernel.registry import find
from amaranthbay.kernel.requests import Answer, Work
from amaranthbay.observe import current_metrics, log_event
from amaranthbay.workspaces.access import AccessControl, KeysInForce

__all__ = ["Pipeline"]

RETRY_SOON = timedelta(seconds=1)


class Pipeline:
    """Runs requests of the gateway through all stages up to the service kind."""

    def __init__(self, ctx, admission, readiness, newest_version=lambda: 0):
        """Creates the pipeline.

        Args:
            ctx: `DispatchContext` that is passed to the service kinds.
            admission: Object with ``admit(work)`` that returns
                ``Result[release function, Refusal]``.
            readiness: Function that returns None if the daemon takes new work, else
                the `Refusal` for all requests.
            newest_version: Function that returns the highest version of the
                configuration that is known to be in force at a daemon.
        """
        self._ctx = ctx
        self._admission = admission
        self._readiness = readiness
        self._kinds = {}
        self._access = AccessControl(KeysInForce(ctx.configuration), newest_version)

    def serve(self, request):
        """Returns ``Result[Answer, Refusal]`` for a caller's request."""
        outcome = self._serve(request)
        if outcome.is_err():
            refusal = outcome.unwrap_err()
            service = self._metric_service(request, refusal)
            metrics = current_metrics()
            metrics.request_ended(service, refusal.verdict, refusal.reason)
        return outcome

    def _metric_service(self, request, refusal):
        """Returns the service that a refusal is counted for; empty if it is unknown.

        Callers choose the names of unknown services. As metric labels, they would
        create any number of time series.
        """
        unknown = refusal.reason is Reason.UNKNOWN_SERVICE
        cfg = self._ctx.configuration()
        if cfg is not None and cfg.workspace_keys.workspaces is not None:
            # The key is checked before the name of the service.
            unknown = cfg.service(request.service) is None
        return "" if unknown else request.service

    def _serve(self, request):
        accepted = self._accept()
        if accepted.is_err():
            return accepted
        classified = self._classify(request)
        if classified.is_err():
            return classified
        work = classified.unwrap()
        if work.workspace is None:
            return self._admit(work)
        name = work.workspace.name
        metrics = current_metrics()
        metrics.workspace_requested(name)
        outcome = self._admit(work)
        if outcome.is_err():
            reason = outcome.unwrap_err().reason
            metrics.workspace_refused(name, reason)
            request_id = work.request.request_id
            log_event(
                "workspace_refused",
                request_id=request_id,
                workspace=name,
                reason=reason,
            )
        return outcome

    def _admit(self, work):
        admitted = self._admission.admit(work)
        if admitted.is_err():
            return admitted
        release = admitted.unwrap()
        return self._dispatch(work, release)

    def _accept(self):
        """Returns ``Result[None, Refusal]``; refuses while no new work is taken."""
        refusal = self._readiness()
        return Ok(None) if refusal is None else Err(refusal)

    def _classify(self, request):
        """Checks a request; returns ``Result[Work, Refusal]``."""
        cfg = self._ctx.configuration()
        admitted = self._access.admit(False, request.credentials, lambda keys: False)
        if admitted.is_err():
            return admitted
        access = admitted.unwrap()
        service = cfg.service(request.service)
        if service is None:
            return Err(_unknown_service(request))
        if access.workspace is not None:
            # Everything below, such as idempotency records, belongs to this workspace.
            request = replace(request, workspace=access.workspace.name)
        if not cfg.admits(request.workspace):
            detail = f"workspace {request.workspace!r} is not configured"
            return Err(not_run(Reason.UNKNOWN_WORKSPACE, detail, status=403))
        caller = cfg.caller(request.caller or service.callers[0])
        if caller is None or caller.name not in service.callers:
            detail = f"caller {request.caller!r} may not use {service.name}"
            return Err(not_run(Reason.UNKNOWN_CALLER, detail, status=403))
        idempotent = not is_non_idempotent(service, request.payload)
        if not idempotent and request.idempotency_key is None:
            detail = "this call needs an Idempotency-Key"
            return Err(not_run(Reason.KEY_REQUIRED, detail, status=400))
        now = self._ctx.clock.monotonic()
        target_s = caller.first_token_s
        deadline = None if target_s is None else now + target_s
        interactive = caller.interactive
        return Ok(Work(request, interactive, deadline, idempotent, now, access))

    def _dispatch(self, work, release):
        """Dispatches admitted work.

        Releases the admission on failure here, else when the answer is settled.
        """
        answer = None
        try:
            service = self._ctx.configuration().service(work.request.service)
            if service is None:
                # It was removed while the request waited.
                return Err(_unknown_service(work.request))
            outcome = self._service_kind(service).dispatch(work)
            if outcome.is_err():
                return outcome
            answer = outcome.unwrap()
            chunks = self._wrap_chunks(work, service, answer.chunks, release)
            return Ok(
                Answer(answer.status, answer.content_type, chunks, answer.headers)
            )
        finally:
            if answer is None:
                release()

    def _service_kind(self, service):
        """Returns the `ServiceKind` of a service, created at its first use."""
        if service.kind not in self._kinds:
            self._kinds[service.kind] = find("service_kind", service.kind)(self._ctx)
        return self._kinds[service.kind]

    def _wrap_chunks(self, work, service, chunks, release):
        """Returns `SettlingChunks` over the chunks of an answer."""
        caller = self._ctx.configuration().caller(
            work.request.caller or service.callers[0]
        )
        between_tokens_s = caller.between_tokens_s if caller else None
        return SettlingChunks(work, chunks, release, self._ctx.clock, between_tokens_s)


class SettlingChunks:
    """Iterates over the chunks of an answer; settles the request once at the end.

    The end is the last chunk, an exception or `close`.
    """

    def __init__(self, work, chunks, release, clock, between_tokens_s=None):
        """Creates the iterator.

        Args:
            work: `Work` of the request.
            chunks: Iterator over the chunks; closed at the end.
            release: Function that releases the admission.
            clock: `Clock` that the deadline of the work refers to.
            between_tokens_s: Target for the mean gap between chunks; None for none.
        """
        self._work = work
        self._chunks = chunks
        self._release = release
        self._clock = clock
        self._between_tokens_s = between_tokens_s
        self._open = True
        self._first_at = None
        self._last_at = None
        self._chunk_count = 0

    def __iter__(self):
        return self

    def __next__(self):
        try:
            chunk = next(self._chunks)
        except BaseException as exc:
            self._settle("answered" if isinstance(exc, StopIteration) else "broken")
            raise
        self._last_at = self._clock.monotonic()
        self._chunk_count += 1
        if self._first_at is None:
            self._first_at = self._last_at
        return chunk

    def close(self):
        """Settles the request and releases the answer's resources; idempotent."""
        self._settle("closed")

    def _settle(self, ending):
        if not self._open:
            return
        self._open = False
        close = getattr(self._chunks, "close", None)
        if close:
            close()
        self._release()
        arrived = self._work.arrived
        log_event(
            "request_settled",
            request_id=self._work.request.request_id,
            ending=ending,
            first_chunk_s=self._first_at and round(self._first_at - arrived, 4),
            total_s=round(self._clock.monotonic() - arrived, 4),
        )
        self._record_metrics(ending)

    def _record_metrics(self, ending):
        service = self._work.request.service
        metrics = current_metrics()
        if ending == "answered":
            metrics.request_ended(service, Verdict.RAN, "answered")
        else:
            metrics.request_ended(service, Verdict.MAY_HAVE_RUN, ending)
        if self._first_at is None:
            return
        metrics.first_token(service, self._first_at - self._work.arrived)
        if ending == "answered" and self._met_targets():
            metrics.goodput(service)

    def _met_targets(self):
        """Returns whether the first chunk and the mean gap met the caller's targets."""
        deadline = self._work.deadline
        if deadline is not None and self._first_at > deadline:
            return False
        if self._between_tokens_s is None or self._chunk_count < 2:
            return True
        mean_s = (self._last_at - self._first_at) / (self._chunk_count - 1)
        return mean_s <= self._between_tokens_s


def _unknown_service(request):
    detail = f"service {request.service!r} is not configured"
    return not_run(Reason.UNKNOWN_SERVICE, detail, status=404)


def is_non_idempotent(service, payload):
    """Returns whether a call is configured as non-idempotent, to run at most once."""
    method = getattr(payload, "method", None)
    if method is None:
        return False
    return any(
        method == pattern.method and payload.path.startswith(pattern.path_prefix)
        for pattern in service.non_idempotent
    )
