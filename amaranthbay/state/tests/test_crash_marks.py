"""Suspects, their isolation and quarantine, and requests that share their servers."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta

import gevent
from hypothesis import given, settings, strategies as st

from amaranthbay.dispatch.deaths import DeathReporter
from amaranthbay.dispatch.inflight import InFlightRecord, InFlightTable
from amaranthbay.dispatch.tests.fake_peers import (
    FakeChannel,
    FakeMembership,
    FakePeers,
    MemoryTable,
)
from amaranthbay.dispatch.tests.fakes import FakeDirectory, server
from amaranthbay.kernel.errors import Reason, Verdict, may_have_run
from amaranthbay.state.crash_marks import SHARED_DEATH, CrashMarks, fingerprint_of
from amaranthbay.state.isolation import SuspectClaims
from amaranthbay.utils.testing import ManualClock, collect, wait_until

NAMES = ("entry-1", "entry-2", "entry-3")


class Node:
    """Crash marks, claims, in-flight records and death reports of one daemon."""

    def __init__(self, table, peers, name, clock, servers=()):
        membership = FakeMembership(peers, name)
        channel = FakeChannel(peers, name)
        self.marks = CrashMarks(
            table, membership, channel, clock, lambda: 2, lambda: NAMES
        )
        self.claims = SuspectClaims(table, clock)
        self.inflight = InFlightTable()
        self.deaths = DeathReporter(
            self.inflight,
            self.marks,
            self.claims,
            FakeDirectory(servers),
            is_dead=lambda server: True,
        )


def make_nodes(names=NAMES, peers=None, servers=()):
    """Returns a table, a clock and a connected `Node` for each name."""
    table, clock = MemoryTable(), ManualClock()
    peers = peers or FakePeers(*names)
    nodes = [Node(table, peers, name, clock, servers) for name in names]
    return table, clock, nodes


def record(fingerprint, attempt_id, *servers, suspect=False):
    """Returns an in-flight record."""
    return InFlightRecord("request", attempt_id, servers, fingerprint, suspect)


def test_first_death_makes_all_requests_in_flight_suspects(case):
    """Guards against a crash that a request caused but that marks no request."""
    dead_server = server("decode-1", "decode")
    _, _, (one, two, _) = make_nodes(servers=[dead_server])
    for name in "abc":
        one.inflight.add(record(name, f"attempt-{name}", dead_server))
    case.assertTrue(one.deaths.check(dead_server))
    for node in (one, two):
        suspects = [node.marks.check_suspicion(name).unwrap() for name in "abcd"]
        case.assertEqual(suspects, [True, True, True, False])


def test_second_death_is_attributed_to_the_isolated_suspect_alone(case):
    """Guards against quarantine of requests that shared a server with the cause."""
    dead_server = server("decode-2", "decode")
    _, _, (one, two, three) = make_nodes(servers=[dead_server])
    one.marks.record_death(["killer", "innocent"], SHARED_DEATH)
    one.claims.isolate("killer", "attempt-k", ["decode-2"]).unwrap()
    one.inflight.add(record("killer", "attempt-k", dead_server, suspect=True))
    one.inflight.add(record("beside", "attempt-b", dead_server))
    two.inflight.add(record("elsewhere", "attempt-e", dead_server))
    one.deaths.check(dead_server)
    two.deaths.check(dead_server)
    for node in (one, two, three):
        refusal = node.marks.check_suspicion("killer").unwrap_err()
        case.assertIs(refusal.reason, Reason.QUARANTINED)
        case.assertIs(refusal.verdict, Verdict.NOT_RUN)
        case.assertIsNone(refusal.retry_after)
        case.assertTrue(node.marks.check_suspicion("innocent").unwrap())
        case.assertFalse(node.marks.check_suspicion("beside").unwrap())
        case.assertFalse(node.marks.check_suspicion("elsewhere").unwrap())


def test_failed_rack_quarantines_nothing(case):
    """Guards against quarantine of a request that ran on several failed servers."""
    dead_servers = [server(f"decode-{number}", "decode") for number in range(5)]
    _, _, (one, two, _) = make_nodes(servers=dead_servers)
    for node, dead in zip((one, two, one, two, one), dead_servers):
        node.inflight.add(record("common", f"attempt-{dead.instance}", dead))
        node.deaths.check(dead)
    case.assertTrue(one.marks.check_suspicion("common").unwrap())


def test_suspect_that_runs_to_its_end_is_cleared(case):
    """Guards against a request that stays a suspect after it ran to its end."""
    table, _, (one, two, _) = make_nodes()
    one.marks.record_death(["innocent"], SHARED_DEATH)
    two.marks.clear("innocent")
    case.assertFalse(one.marks.check_suspicion("innocent").unwrap())
    case.assertEqual(table.rows, {})


def test_death_of_a_leaving_server_marks_no_request(case):
    """Guards against suspects after a planned shutdown of a server."""
    dead_server = replace(server("decode-1", "decode"), leaving=True)
    _, _, (one, *_) = make_nodes(servers=[dead_server])
    one.inflight.add(record("a", "attempt-a", dead_server))
    case.assertTrue(one.deaths.check(dead_server))
    case.assertFalse(one.marks.check_suspicion("a").unwrap())


def test_one_report_serves_all_broken_streams(case):
    """Guards against a report of the same death for each of 100 streams."""
    dead_server = server("decode-1", "decode")
    table, _, (one, *_) = make_nodes(servers=[dead_server])
    probes = []

    def is_dead(probed_server):
        probes.append(probed_server)
        gevent.sleep(0)
        return True

    one.deaths._is_dead = is_dead
    one.inflight.add(record("a", "attempt-a", dead_server))
    jobs = [gevent.spawn(one.deaths.check, dead_server) for _ in range(100)]
    gevent.joinall(jobs)
    case.assertTrue(all(job.value for job in jobs))
    case.assertEqual(len(probes), 1)
    case.assertEqual(len(table.rows), 1)


def test_marks_reach_peers_and_later_the_table_in_an_outage(case):
    """Guards against marks that are lost in an outage of the platform."""
    table, _, (one, two, _) = make_nodes()
    table.down = True
    one.marks.record_death(["a"], SHARED_DEATH)
    case.assertTrue(two.marks.check_suspicion("a").unwrap())
    case.assertEqual(table.rows, {})
    table.down = False
    case.assertTrue(one.marks.scan())
    case.assertEqual(len(table.rows), 1)


def test_suspect_does_not_run_while_the_platform_is_down(case):
    """Guards against two suspects on one server, of which either may crash it."""
    table, _, (one, *_) = make_nodes()
    table.down = True
    refusal = one.claims.isolate("a", "attempt-a", ["decode-1"]).unwrap_err()
    case.assertIs(refusal.reason, Reason.PLATFORM_UNAVAILABLE)
    case.assertIs(refusal.verdict, Verdict.NOT_RUN)
    case.assertIsNotNone(refusal.retry_after)


def test_lost_reply_of_a_claim_is_read_back(case):
    """Guards against a suspect that waits for its own claim."""
    table, _, (one, two, _) = make_nodes()
    table.lose_replies = 1
    isolation = one.claims.isolate("a", "attempt-a", ["decode-1"]).unwrap()
    case.assertTrue(two.claims.isolate("b", "attempt-b", ["decode-1"]).is_err())
    isolation.release()
    wait_until(lambda: not table.rows)
    case.assertTrue(two.claims.isolate("b", "attempt-b", ["decode-1"]).is_ok())


def test_claim_of_a_dead_daemon_ends(case):
    """Guards against a claim that blocks other suspects for ever."""
    _, clock, (one, two, _) = make_nodes()
    one.claims.isolate("a", "attempt-a", ["prefill-1", "decode-1"])
    claimed = two.claims.isolate("b", "attempt-b", ["decode-1"])
    case.assertTrue(claimed.is_err())
    clock.advance(61)
    case.assertIsNone(two.claims.active_claim("decode-1"))
    case.assertTrue(two.claims.isolate("b", "attempt-b", ["decode-1"]).is_ok())


def test_only_the_dead_server_stays_claimed(case):
    """Guards against suspects that wait for a server which is alive and free."""
    _, _, (one, two, _) = make_nodes()
    servers = ["prefill-1", "decode-1"]
    isolation = one.claims.isolate("a", "attempt-a", servers).unwrap()
    isolation.release(dead={"decode-1"})
    wait_until(lambda: two.claims.active_claim("prefill-1") is None)
    case.assertEqual(two.claims.active_claim("decode-1").fingerprint, "a")


def test_refusal_tells_when_all_daemons_know_the_marks(case):
    """Guards against a delayed refusal, and against a retry before the next scan."""
    peers = FakePeers(*NAMES)
    _, clock, (one, *_) = make_nodes(peers=peers)
    refusal = may_have_run(Reason.BACKEND_FAILED, "the server died")
    one.marks.record_death(["a"], SHARED_DEATH)
    case.assertEqual(one.marks.with_retry_after("a", refusal), refusal)
    peers.silent.add("entry-3")
    one.marks.record_death(["b"], SHARED_DEATH)
    with_retry = one.marks.with_retry_after("b", refusal)
    case.assertGreaterEqual(with_retry.retry_after, timedelta(seconds=5))
    case.assertEqual(with_retry.verdict, refusal.verdict)
    case.assertEqual(clock.monotonic(), 0.0)


def test_restarted_daemon_reads_the_marks_from_the_table(case):
    """Guards against a quarantine that a restart of the daemon ends."""
    table, clock, (one, *_) = make_nodes()
    one.marks.record_death(["a"], SHARED_DEATH)
    one.marks.record_death(["a"], "attempt-2")
    restarted = Node(table, FakePeers("entry-9"), "entry-9", clock)
    case.assertTrue(restarted.marks.scan())
    case.assertIs(
        restarted.marks.check_suspicion("a").unwrap_err().reason, Reason.QUARANTINED
    )


def test_marks_expire_after_a_day(case):
    """Guards against rows that are never removed."""
    table, clock, (one, *_) = make_nodes()
    one.marks.record_death(["a"], SHARED_DEATH)
    clock.advance(24 * 3600 + 1)
    one.marks.scan()
    case.assertFalse(one.marks.check_suspicion("a").unwrap())
    case.assertEqual(table.rows, {})


def test_fingerprint_separates_its_parts(case):
    """Guards against a shared fingerprint of parts that differ in boundaries only."""
    fingerprints = {
        fingerprint_of("ab", b"c"),
        fingerprint_of("a", b"bc"),
        fingerprint_of("a", b"b", b"c"),
        fingerprint_of("a", b"", b"bc"),
    }
    case.assertEqual(len(fingerprints), 4)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(("killer", "a", "b", "c")),
            st.booleans(),
        ),
        max_size=30,
    )
)
def test_crashing_request_takes_down_at_most_two_servers(case, sends):
    """Guards against a request that is retried until it has crashed a whole pool.

    Each send has a daemon, a fingerprint and whether the platform is down. The request
    "killer" crashes every server. The request "beside" runs on each server, too.
    """
    table, clock, nodes = make_nodes()
    deaths = Counter()
    for number, (index, fingerprint, platform_down) in enumerate(sends):
        node = nodes[index]
        table.down = platform_down
        suspicion = node.marks.check_suspicion(fingerprint)
        if suspicion.is_err():
            case.assertEqual(fingerprint, "killer")
            continue
        suspect = suspicion.unwrap()
        target = server(f"decode-{number}", "decode")
        attempt_id = f"attempt-{number}"
        if suspect:
            claimed = node.claims.isolate(fingerprint, attempt_id, [target.instance])
            if claimed.is_err():
                continue
        node.inflight.add(record(fingerprint, attempt_id, target, suspect=suspect))
        node.inflight.add(record("beside", f"beside-{number}", target))
        if fingerprint == "killer":
            deaths["killer"] += 1
            node.deaths.check(target)
        elif suspect:
            node.marks.clear(fingerprint)
        node.inflight.remove(attempt_id)
        node.inflight.remove(f"beside-{number}")
        if suspect:
            dead = (target.instance,) if fingerprint == "killer" else ()
            claimed.unwrap().release(dead)
    case.assertLessEqual(deaths["killer"], 2)
    case.assertTrue(nodes[0].marks.check_suspicion("beside").is_ok())


load_tests = collect(globals())
