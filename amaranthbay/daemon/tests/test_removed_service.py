"""Requests whose service is removed from the configuration while they wait."""

from dataclasses import replace
from types import SimpleNamespace

from amaranthbay.daemon.process import Daemon
from amaranthbay.dispatch.tests.fakes import (
    DispatchHarness,
    FakeEngine,
    model_work,
)
from amaranthbay.kernel.errors import Reason, Verdict
from amaranthbay.kernel.pipeline import Pipeline
from amaranthbay.placement.admission import BoundedAdmission
from amaranthbay.utils.testing import collect, greenlet, wait_until


def test_request_of_a_removed_service_ends(case):
    """Guards against a queue in which all requests wait behind such a request."""
    harness = DispatchHarness(FakeEngine())
    daemon = SimpleNamespace(
        clock=harness.ctx.clock,
        configuration=lambda: harness.cfg,
        _pool_view=lambda service, call: harness.cfg.service(service).pools,
    )
    may_start = Daemon._make_may_start(
        daemon, SimpleNamespace(may_start=lambda demand, view, now: False)
    )
    admission = BoundedAdmission(10, harness.ctx.clock, may_start)
    pipeline = Pipeline(harness.ctx, admission, lambda: None)
    with greenlet(pipeline.serve, model_work().request) as job:
        wait_until(lambda: len(admission.queue) == 1 or job.ready())
        case.assertFalse(job.ready())
        harness.cfg = replace(harness.cfg, version=9, services=())
        wait_until(job.ready)
        refusal = job.value.unwrap_err()
    case.assertIs(refusal.reason, Reason.UNKNOWN_SERVICE)
    case.assertIs(refusal.verdict, Verdict.NOT_RUN)
    case.assertEqual(admission.active, 0)


load_tests = collect(globals())
