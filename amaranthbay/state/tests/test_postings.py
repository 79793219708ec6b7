"""Postings through daemon processes that are killed or frozen, and platform faults."""

import signal

import gevent
import msgspec
import uuid6

from amaranthbay.platform.http import HttpTableService
from amaranthbay.standins.processes import Deployment, call_json
from amaranthbay.state.records import KEY_PREFIX
from amaranthbay.utils.http import exchange_whole
from amaranthbay.utils.testing import collect, wait_until

POSTING = {"account": "a", "amount": 5, "reference": "r1"}


class PostingHarness:
    """Three daemons, a ledger, a platform and one idempotency key."""

    def __init__(self, case):
        self.deployment = case.enterContext(Deployment())
        self.ledger = self.deployment.start_ledger()
        for number in range(1, 4):
            self.deployment.start_daemon(f"entry-{number}")
        self.deployment.publish()
        self.deployment.accept()
        self.deployment.wait_ready()
        self.table = HttpTableService(self.deployment.platform.address)
        self.key = str(uuid6.uuid7())

    def daemon(self, number):
        return self.deployment.daemons[f"entry-{number}"]

    def post(self, number):
        """Posts through a daemon; returns status and JSON, None without an answer."""
        headers = [("X-Workspace", "ws-1"), ("Idempotency-Key", self.key)]
        headers.append(("Content-Type", "application/json"))
        path = "/v1/services/ledger/postings"
        body = msgspec.json.encode(POSTING)
        outcome = exchange_whole(
            self.daemon(number).address, "POST", path, body, headers, 20.0
        )
        if outcome.is_err():
            return None
        status, raw = outcome.unwrap()
        return status, msgspec.json.decode(raw)

    def set_faults(self, process, **faults):
        call_json(process.address, "POST", "/control/faults", faults)

    def posting_count(self):
        counts = call_json(self.ledger.address, "GET", "/control/counts")
        return counts["postings"].get("r1", 0)

    def has_record(self):
        return bool(self.table.scan(KEY_PREFIX).unwrap())


def test_all_daemons_at_once_run_a_key_once(case):
    """Guards against several daemons that each run the same key."""
    harness = PostingHarness(case)
    jobs = [gevent.spawn(harness.post, number) for number in (1, 2, 3) * 5]
    gevent.joinall(jobs, raise_error=True)
    case.assertEqual(harness.posting_count(), 1)
    case.assertIn(200, {job.value[0] for job in jobs})
    case.assertEqual(harness.post(2)[0], 200)


def test_killed_daemon_leaves_a_key_that_does_not_run_again(case):
    """Guards against a second posting after a daemon was killed during the first."""
    harness = PostingHarness(case)
    harness.set_faults(harness.ledger, delay_s=3.0)
    job = gevent.spawn(harness.post, 1)
    wait_until(lambda: harness.posting_count() == 1)
    harness.daemon(1).kill()
    status, problem = harness.post(2)
    case.assertEqual((status, problem["verdict"]), (409, "may_have_run"))
    case.assertIsNotNone(problem["retry_after_s"])
    job.join()
    case.assertEqual(harness.posting_count(), 1)


def test_call_of_a_daemon_frozen_between_claim_and_send_runs_once(case):
    """Guards against a repeat that runs while the first daemon is frozen."""
    harness = PostingHarness(case)
    harness.set_faults(harness.deployment.platform, commit_reply_delay_s=1.0)
    job = gevent.spawn(harness.post, 1)
    wait_until(harness.has_record)
    harness.daemon(1).signal(signal.SIGSTOP)
    harness.set_faults(harness.deployment.platform)
    status, problem = harness.post(2)
    case.assertEqual((status, problem["reason"]), (409, "key_in_progress"))
    case.assertEqual(harness.posting_count(), 0)
    harness.daemon(1).signal(signal.SIGCONT)
    wait_until(lambda: harness.post(2)[0] == 200)
    job.join()
    case.assertEqual(harness.posting_count(), 1)


def test_outage_refuses_and_a_later_repeat_runs(case):
    """Guards against a posting without a record, and against a key that it blocks."""
    harness = PostingHarness(case)
    harness.set_faults(harness.deployment.platform, outage=True)
    for _ in range(3):
        status, problem = harness.post(1)
        case.assertEqual((status, problem["verdict"]), (503, "not_run"))
        case.assertGreater(problem["retry_after_s"], 0)
    case.assertEqual(harness.posting_count(), 0)
    harness.set_faults(harness.deployment.platform)
    wait_until(lambda: harness.post(1)[0] == 200)
    case.assertEqual(harness.posting_count(), 1)


def test_lost_reply_is_read_back(case):
    """Guards against a claim that took effect but counts as failed."""
    harness = PostingHarness(case)
    harness.set_faults(harness.deployment.platform, lose_replies=1)
    case.assertEqual(harness.post(1)[0], 200)
    case.assertEqual(harness.posting_count(), 1)


def test_claim_that_takes_effect_late_never_runs(case):
    """Guards against a run by an attempt that was answered ``not_run``."""
    harness = PostingHarness(case)
    harness.set_faults(harness.deployment.platform, late_commits=1, late_s=1.0)
    status, problem = harness.post(1)
    case.assertEqual((status, problem["verdict"]), (503, "not_run"))
    wait_until(lambda: harness.post(2)[0] == 200)
    case.assertEqual(harness.posting_count(), 1)


def test_refusing_ledger_leaves_the_key_usable(case):
    """Guards against a key that is unusable after a ``not_run`` answer."""
    harness = PostingHarness(case)
    harness.set_faults(harness.ledger, refuse=True)
    case.assertEqual(harness.post(1)[1]["verdict"], "not_run")
    harness.set_faults(harness.ledger)
    case.assertEqual(harness.post(2)[0], 200)
    case.assertEqual(harness.posting_count(), 1)


def test_broken_ledger_connection_is_not_repeated(case):
    """Guards against a second posting after the answer to the first was lost."""
    harness = PostingHarness(case)
    harness.set_faults(harness.ledger, die_after_posting=True)
    case.assertEqual(harness.post(1)[1]["verdict"], "may_have_run")
    harness.set_faults(harness.ledger)
    case.assertEqual(harness.post(2)[1]["reason"], "outcome_unknown")
    case.assertEqual(harness.posting_count(), 1)


load_tests = collect(globals())
