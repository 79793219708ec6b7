"""Restarts of background jobs after unexpected exceptions."""

import gevent.event

from amaranthbay.utils.jobs import JobGroup
from amaranthbay.utils.testing import ManualClock, collect, wait_until


def test_job_is_started_again_after_a_defect(case):
    """Guards against a job that ends for good at its first unexpected exception."""
    runs = []
    reached = gevent.event.Event()

    def fail_twice():
        runs.append(1)
        if len(runs) < 3:
            raise KeyError("defect")
        reached.set()

    jobs = JobGroup(ManualClock())
    case.addCleanup(jobs.stop)
    jobs.start("polling", fail_twice)
    wait_until(reached.is_set)
    case.assertEqual(len(runs), 3)


def test_stopped_jobs_do_not_come_back(case):
    """Guards against a job that is restarted while the daemon stops."""
    started = gevent.event.Event()

    def wait():
        started.set()
        gevent.event.Event().wait()

    jobs = JobGroup(ManualClock())
    jobs.start("waiting", wait)
    wait_until(started.is_set)
    started.clear()
    jobs.stop()
    gevent.sleep(0)
    case.assertFalse(started.is_set())


load_tests = collect(globals())
