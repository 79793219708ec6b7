"""At most one run per key, in random orders of faults, pauses and repeats."""

import uuid
from collections import Counter
from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok

from amaranthbay.dispatch.types import PlainCall
from amaranthbay.kernel.errors import Reason, Verdict, may_have_run, not_run
from amaranthbay.kernel.requests import Attempt, CallerRequest
from amaranthbay.state.cleaner import RecordCleaner
from amaranthbay.state.idempotency import MAX_KEPT_BODY_BYTES, IdempotencyStore
from amaranthbay.state.records import Outcome, row_key
from amaranthbay.state.tests.fakes import (
    FAULTS,
    MemoryTable,
    StepClock,
    pause,
    run_until_pause,
)
from amaranthbay.state.tests.machines import (
    assert_invariant_breaks,
    assert_invariants_hold,
)
from amaranthbay.utils.testing import collect

DAEMONS = 3
FAULT = st.sampled_from((*FAULTS, "refused", "ok", "ok"))


def make_key(created_at, number=0):
    """Returns a version 7 UUID of a given time."""
    value = int(created_at.timestamp() * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


def make_request(key, body=b"{}", workspace="ws"):
    call = PlainCall("POST", "/postings", body)
    return CallerRequest("r", "ledger", workspace, "", call, key)


class CallsMachine(RuleBasedStateMachine):
    """Daemons that may be killed, callers that repeat, and a platform with faults.

    Attributes:
        keys: Idempotency keys of the calls.
        jobs: Number of the daemon and greenlet of each paused operation.
        runs: Number of runs by key.
        attempts: Number of attempts so far.
    """

    conditional = True

    def __init__(self):
        super().__init__()
        self.clock = StepClock()
        self.table = MemoryTable(pause, self.conditional)
        self.stores = [self.new_store() for _ in range(DAEMONS)]
        self.keys = [make_key(self.clock.now(), number) for number in range(2)]
        self.jobs = []
        self.runs = Counter()
        self.attempts = 0

    def new_store(self):
        return IdempotencyStore(self.table, self.clock)

    def start_job(self, daemon, function, *args):
        job = run_until_pause(function, *args)
        if not job.dead:
            self.jobs.append((daemon, job))

    def call(self, daemon, key, body):
        self.attempts += 1
        attempt = Attempt("r", f"attempt-{self.attempts}", 1)
        store = self.stores[daemon]
        begun = store.begin(make_request(key, body), attempt)
        if begun.is_err():
            return
        if isinstance(begun.unwrap(), Outcome):
            assert (
                begun.unwrap().body == key.encode()
            ), "the outcome belongs to another call"
            assert self.runs[key] == 1, "an outcome was returned without a run"
            return
        store.finish(begun.unwrap(), self.run_call(key))

    def run_call(self, key):
        fault = pause("send")
        if fault in ("refused", "down"):
            return Err(not_run(Reason.BACKEND_FAILED, "fault"))
        if fault == "dropped":
            return Err(may_have_run(Reason.BACKEND_FAILED, "fault"))
        self.runs[key] += 1
        if fault in ("lost", "late"):
            return Err(may_have_run(Reason.BACKEND_FAILED, "fault"))
        return Ok(Outcome(200, key.encode()))

    @rule(
        daemon=st.integers(0, DAEMONS - 1),
        key=st.sampled_from((0, 0, 0, 1)),
        body=st.sampled_from((b"1", b"1", b"1", b"2")),
    )
    def start_call(self, daemon, key, body):
        self.start_job(daemon, self.call, daemon, self.keys[key], body)

    @precondition(lambda self: self.jobs)
    @rule(index=st.integers(0, 9), fault=FAULT)
    def resume(self, index, fault):
        daemon, job = self.jobs.pop(index % len(self.jobs))
        job.switch(fault)
        if not job.dead:
            self.jobs.append((daemon, job))

    @precondition(lambda self: self.jobs)
    @rule(index=st.integers(0, 9), faults=st.lists(FAULT, max_size=4))
    def finish_job(self, index, faults):
        job = self.jobs.pop(index % len(self.jobs))[1]
        while not job.dead:
            job.switch(faults.pop(0) if faults else "ok")

    @precondition(lambda self: any(store.outstanding for store in self.stores))
    @rule()
    def retry_unsettled(self):
        for daemon, store in enumerate(self.stores):
            if store.outstanding:
                self.start_job(daemon, store.unsettled.retry)

    @rule(daemon=st.integers(0, 3 * DAEMONS))
    def kill_daemon(self, daemon):
        if daemon >= DAEMONS:
            return
        self.jobs = [entry for entry in self.jobs if entry[0] != daemon]
        self.stores[daemon] = self.new_store()

    @precondition(lambda self: self.table.late)
    @rule(index=st.integers(0, 9))
    def apply_late_commit(self, index):
        self.table.apply_late(index)

    # Long steps are rare: once the keys have expired, all calls are refused and no
    # invariant can break.
    @rule(hours=st.sampled_from((0.01,) * 8 + (47.0, 80.0)))
    def advance(self, hours):
        self.clock.advance(hours * 3600)

    @precondition(lambda self: self.clock.monotonic() > 3600)
    @rule(daemon=st.integers(0, DAEMONS - 1))
    def clean(self, daemon):
        cleaner = RecordCleaner(self.table, self.clock, str(daemon), tuple)
        self.start_job(daemon, cleaner.clean)

    @invariant()
    def runs_at_most_once(self):
        assert max(self.runs.values(), default=0) <= 1, "a call ran twice"


class UnconditionalMachine(CallsMachine):
    """The same machine on a table that doesn't check conditions of writes."""

    conditional = False


def test_a_key_runs_at_most_once(case):
    """Guards against a second run after faults, pauses, kills and cleaning."""
    assert_invariants_hold(case, CallsMachine, 300)


def test_the_machine_finds_a_missing_condition(case):
    """Guards against a state machine that doesn't detect a second run."""
    assert_invariant_breaks(case, UnconditionalMachine, 300)


def make_store(fault=lambda operation: "ok"):
    """Returns a clock, a table with faults and an `IdempotencyStore`."""
    clock = StepClock()
    table = MemoryTable(fault)
    return clock, table, IdempotencyStore(table, clock)


def begin(store, key, number, body=b"{}"):
    return store.begin(make_request(key, body), Attempt("r", f"attempt-{number}", 1))


def test_repeats_get_status_body_and_content_type(case):
    """Guards against an answer that its record doesn't reproduce exactly."""
    clock, _, store = make_store()
    key = make_key(clock.now())
    answer = Outcome(201, b"\xff\x00binary", "application/octet-stream")
    store.finish(begin(store, key, 1).unwrap(), Ok(answer))
    case.assertEqual(begin(store, key.upper(), 2).unwrap(), answer)


def test_large_answers_are_not_kept(case):
    """Guards against rows of unlimited size, and against a lost verdict."""
    clock, _, store = make_store()
    key = make_key(clock.now())
    answer = Outcome(200, b"x" * (MAX_KEPT_BODY_BYTES + 1))
    store.finish(begin(store, key, 1).unwrap(), Ok(answer))
    refusal = begin(store, key, 2).unwrap_err()
    case.assertIs(refusal.verdict, Verdict.RAN)


def test_repeat_during_a_run_is_told_when_to_come_back(case):
    """Guards against a repeat that runs or hangs during the first call."""
    clock, _, store = make_store()
    key = make_key(clock.now())
    permit = begin(store, key, 1).unwrap()
    refusal = begin(store, key, 2).unwrap_err()
    case.assertEqual(refusal.reason, Reason.KEY_IN_PROGRESS)
    case.assertIs(refusal.verdict, Verdict.MAY_HAVE_RUN)
    case.assertGreater(refusal.retry_after, timedelta(0))
    store.finish(permit, Err(may_have_run(Reason.BACKEND_FAILED, "broke")))
    case.assertEqual(begin(store, key, 3).unwrap_err().reason, Reason.OUTCOME_UNKNOWN)


def test_other_body_under_a_key_is_refused(case):
    """Guards against answering one call with the answer to another."""
    clock, _, store = make_store()
    key = make_key(clock.now())
    begin(store, key, 1)
    refusal = begin(store, key, 2, b"other").unwrap_err()
    case.assertEqual(refusal.reason, Reason.KEY_REUSED)


def test_a_call_that_did_not_run_may_run_later(case):
    """Guards against a key that stays blocked after a ``not_run`` answer."""
    clock, _, store = make_store()
    key = make_key(clock.now())
    refused = Err(not_run(Reason.BACKEND_FAILED, "refused"))
    store.finish(begin(store, key, 1).unwrap(), refused)
    permit = begin(store, key, 2).unwrap()
    case.assertEqual(permit.record.attempt_id, "attempt-2")


def test_a_lost_claim_is_given_up_and_the_key_stays_usable(case):
    """Guards against a claim that takes effect late and blocks its key for two days."""
    faults = iter(["late"])
    clock, table, store = make_store(lambda operation: next(faults, "ok"))
    key = make_key(clock.now())
    refusal = begin(store, key, 1).unwrap_err()
    case.assertIs(refusal.verdict, Verdict.NOT_RUN)
    table.apply_late(0)
    store.unsettled.retry()
    store.unsettled.retry()
    case.assertEqual(store.outstanding, 0)
    case.assertEqual(begin(store, key, 2).unwrap().record.attempt_id, "attempt-2")


def test_a_claim_that_outlives_the_retention_does_not_run(case):
    """Guards against a run after a pause between the check of a key and its claim.

    During the pause another attempt runs under the same key, and its record is removed.
    """
    clock, table, store = make_store(pause)
    key = make_key(clock.now())
    results = []
    paused_job = run_until_pause(lambda: results.append(begin(store, key, 1)))
    other = IdempotencyStore(table, clock)
    other.finish(begin(other, key, 2).unwrap(), Ok(Outcome(200, b"")))
    clock.advance(4 * 86400)
    RecordCleaner(table, clock, "d", tuple).clean()
    case.assertFalse(table.rows)
    while not paused_job.dead:
        paused_job.switch("ok")
    case.assertEqual(results[0].unwrap_err().reason, Reason.KEY_EXPIRED)


def test_no_accepted_key_loses_its_record(case):
    """Guards against a cleaner that removes a record too early or never."""
    clock, table, store = make_store()
    key = make_key(clock.now())
    store.finish(begin(store, key, 1).unwrap(), Ok(Outcome(200, b"")))
    cleaner = RecordCleaner(table, clock, "d", tuple)
    accepted = True
    for hour in range(100):
        cleaner.clean()
        kept = row_key(make_request(key)) in table.rows
        accepted = begin(store, key, 2).is_ok()
        case.assertTrue(kept or not accepted, f"hour {hour}")
        clock.advance(3600)
    case.assertFalse(kept)


def test_a_late_not_run_record_does_not_take_the_right_of_a_later_attempt(case):
    """Guards against a ``not_run`` record that is written twice, the first time late.

    The later attempt must keep the right to run.
    """
    faults = iter(["ok", "late"])
    clock, table, store = make_store(lambda operation: next(faults, "ok"))
    key = make_key(clock.now())
    refused = Err(not_run(Reason.BACKEND_FAILED, "refused"))
    store.finish(begin(store, key, 1).unwrap(), refused)
    store.unsettled.retry()
    begin(store, key, 2).unwrap()
    table.apply_late(0)
    case.assertEqual(begin(store, key, 3).unwrap_err().reason, Reason.KEY_IN_PROGRESS)


def test_one_live_daemon_is_chosen_to_clean(case):
    """Guards against cleaning by several daemons or by none."""
    clock, table, _ = make_store()
    names = [f"entry-{number}" for number in range(9)]
    chosen_names = [
        name
        for name in names
        if RecordCleaner(table, clock, name, lambda: names).is_chosen()
    ]
    case.assertEqual(len(chosen_names), 1)


load_tests = collect(globals())
