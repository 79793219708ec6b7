"""What instances learn about each other from their reports."""

import random
from math import inf, nan

import gevent
import msgspec
from gevent import socket
from hypothesis import given, settings, strategies as st

from amaranthbay.fleet.peers import (
    LONG_SILENCE_S,
    MAX_REPORTING,
    MIN_REPORT_INTERVAL_S,
    OwnReport,
    Peers,
    Registration,
)
from amaranthbay.fleet.reports import (
    CRASH_FIELDS,
    MAX_DATAGRAM_BYTES,
    LimitNotice,
    MeasuredDemand,
    PartBlock,
    PeerStatus,
    RelayedUsage,
    ServerLoad,
    Usage,
    WorkspaceUsage,
    encode_datagram,
    split_report,
)
from amaranthbay.fleet.tables import ChangedRow
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.utils.http import split_address
from amaranthbay.utils.jobs import JobGroup
from amaranthbay.utils.testing import ManualClock, collect, free_port, wait_until


def make_registration(name):
    return Registration(name, "zone-a", "region-1", f"{name}:80", "127.0.0.1:9")


def make_peers(count=2):
    """Returns the view of ``entry-1`` with ``count`` registered instances."""
    clock = ManualClock()
    peers = Peers(make_registration("entry-1"), clock, OwnReport, bool, 1)
    peers.serving = True
    rows = [make_registration(f"entry-{number}") for number in range(1, count + 1)]
    peers.apply([ChangedRow(r.instance, 1, msgspec.json.encode(r)) for r in rows])
    return peers, clock


def status(sequence, process=5, serving=True, loads=None):
    """Returns a full report of ``entry-2``."""
    return PeerStatus("entry-2", process, sequence, serving, loads or {})


def live_names(peers):
    return [registration.instance for registration in peers.live()]


def test_silent_instance_leaves_the_lookup(case):
    """Guards against sending callers to an instance that has died."""
    peers, clock = make_peers()
    peers.receive(status(1))
    case.assertEqual(live_names(peers), ["entry-1", "entry-2"])
    clock.advance(peers.interval_s() * 6)
    case.assertEqual(live_names(peers), ["entry-1"])


def test_own_usage_that_comes_back_makes_no_instance_busy(case):
    """Guards against reports to all instances, and answers to the own charges, as one
    that passes on usage sends it to all who have asked, its own sender included."""
    peers, _ = make_peers()
    peers.serving = False
    charged = (WorkspaceUsage("north", 1, 9, 2),)
    relayed = (RelayedUsage("entry-1", 1, 0, 2, charged),)
    peers.receive(msgspec.structs.replace(status(1), usage=Usage(relayed=relayed)))
    case.assertFalse(peers.is_busy())
    case.assertFalse(peers._report_requested.is_set())


def test_silent_instance_still_counts_for_shared_limits(case):
    """Guards against a larger share of a server's limit for an instance that hears of
    no other one, and against leaving out one that the store has not named yet."""
    peers, clock = make_peers(3)
    peers.receive(PeerStatus("entry-9", 5, 1, True, {}))
    case.assertEqual(peers.known_names(), {"entry-1", "entry-2", "entry-3", "entry-9"})
    clock.advance(60.0)
    case.assertEqual(peers.known_names(), {"entry-1", "entry-2", "entry-3"})


def test_draining_instance_leaves_the_lookup_at_once(case):
    """Guards against new callers at an instance that drains."""
    peers, _ = make_peers()
    peers.receive(status(1))
    peers.receive(status(2, serving=False))
    case.assertEqual(live_names(peers), ["entry-1"])


def test_overtaken_report_is_dropped(case):
    """Guards against an older report that undoes a newer one when datagrams arrive out
    of order."""
    peers, _ = make_peers()
    peers.receive(status(2, serving=False))
    peers.receive(status(1))
    case.assertEqual(live_names(peers), ["entry-1"])


def test_reports_of_a_restarted_instance_count_at_once(case):
    """Guards against dropping reports until the new process reaches the sequence number
    of the previous one."""
    peers, _ = make_peers()
    peers.receive(status(50, process=5, serving=False))
    peers.receive(status(1, process=6))
    case.assertEqual(live_names(peers), ["entry-1", "entry-2"])


def test_foreign_names_do_not_use_up_the_memory(case):
    """Guards against memory that grows with each name in a datagram."""
    peers, clock = make_peers()
    peers.receive(status(1))
    for number in range(2 * MAX_REPORTING):
        clock.advance(0.001)
        foreign = PeerStatus(f"foreign-{number}", 1, 1, True, {})
        peers.receive(foreign)
        if number % 100 == 0:
            peers.receive(status(2 + number))
    case.assertEqual(len(peers._received), MAX_REPORTING)
    case.assertEqual(live_names(peers), ["entry-1", "entry-2"])


def test_instance_that_may_lack_reports_is_noticed(case):
    """Guards against an instance that is not told what others have reported before it
    started, or while it was cut off."""
    noticed = []
    peers, clock = make_peers()
    peers._on_heard_anew = lambda: noticed.append(1)
    peers.receive(status(1, process=5))
    clock.advance(0.2)
    peers.receive(status(2, process=5))
    case.assertEqual(len(noticed), 1)
    peers.receive(status(1, process=6))
    case.assertEqual(len(noticed), 2)
    clock.advance(LONG_SILENCE_S + 0.1)
    peers.receive(status(2, process=6))
    case.assertEqual(len(noticed), 3)


def test_unregistered_instance_is_not_given_to_callers(case):
    """Guards against lookups that name an instance without a row in the store."""
    peers, _ = make_peers(count=1)
    peers.receive(status(1))
    case.assertEqual(live_names(peers), ["entry-1"])


def test_loads_of_peers_add_up_while_they_are_fresh(case):
    """Guards against placing work on a server that others have just filled."""
    peers, clock = make_peers()
    peers.receive(status(1, loads={"dec-1": ServerLoad(2, 500, 10)}))
    case.assertEqual(peers.loads(), {"dec-1": ServerLoad(2, 500, 10)})
    clock.advance(1.1)
    case.assertEqual(peers.loads(), {})


def test_choice_follows_the_live_instances(case):
    """Guards against a cached choice that is stale after an instance has left or come,
    and against computing the choice for each report."""
    peers, clock = make_peers(3)
    calls = []
    peers._choose = lambda live: calls.append(live) or live
    peers.receive(status(1))
    case.assertEqual(peers.chosen_names(), {"entry-1", "entry-2"})
    case.assertEqual(peers.chosen_names(), {"entry-1", "entry-2"})
    case.assertEqual(len(calls), 1)
    peers.receive(status(2, serving=False))
    case.assertEqual(peers.chosen_names(), {"entry-1"})
    peers.receive(status(3))
    case.assertEqual(peers.chosen_names(), {"entry-1", "entry-2"})
    clock.advance(10.0)
    case.assertEqual(peers.chosen_names(), {"entry-1"})


def test_switching_servers_are_known_between_rare_reports(case):
    """Guards against work for a server that switches, when the instance that ordered
    the switch reports less often than `LOAD_TTL_S`."""
    peers, clock = make_peers()
    report = PeerStatus("entry-2", 5, 1, True, {}, {}, {"dec-1": "prefill"}, 2.0)
    peers.receive(report)
    clock.advance(1.9)
    case.assertEqual(peers.switching(), {"dec-1": "prefill"})
    clock.advance(10.0)
    case.assertEqual(peers.switching(), {})


def test_rate_of_datagrams_does_not_grow_with_the_fleet(case):
    """Guards against a rate of datagrams per instance that grows with the fleet."""
    small, _ = make_peers(9)
    large, _ = make_peers(120)
    large._choose = lambda live: []
    small_rate = 8 / small.interval_s()
    large_rate = 119 / large.interval_s()
    case.assertLess(large_rate, 2 * small_rate)


def test_standby_instance_reports_to_its_zone_and_to_chosen_instances(case):
    """Guards against datagrams between all pairs of instances in a large fleet."""
    peers, _ = make_peers()
    rows = [
        msgspec.structs.replace(
            make_registration(f"entry-{zone}-{number}"), availability_zone=zone
        )
        for zone in ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e")
        for number in range(39)
    ]
    peers.apply([ChangedRow(r.instance, 1, msgspec.json.encode(r)) for r in rows])
    chosen = {"entry-zone-b-1", "entry-zone-c-1"}
    for name in chosen:
        peers.receive(PeerStatus(name, 5, 1, True, {}))
    peers._choose = lambda live: [r for r in live if r.instance in chosen]
    recipients = peers._recipients()
    case.assertTrue(chosen < recipients)
    standby = recipients - chosen - {"entry-1", "entry-2"}
    case.assertTrue(all("zone-a" in name for name in standby))
    case.assertLess(len(recipients), 50)
    # A chosen instance reports to all.
    peers._choose = lambda live: live
    case.assertIsNone(peers._recipients())


def test_chosen_instances_report_more_often(case):
    """Guards against lookups that name a dead instance for several seconds."""
    large, _ = make_peers(120)
    case.assertLessEqual(large.interval_s(), 0.6)


def test_changed_load_is_reported_at_once(case):
    """Guards against several instances that fill the same server because each learns of
    the others' work too late."""
    names = ("entry-1", "entry-2")
    addresses = {name: f"127.0.0.1:{free_port()}" for name in names}
    load = {}
    peers = {}
    for name in names:
        own = msgspec.structs.replace(
            make_registration(name), peer_address=addresses[name]
        )
        peers[name] = Peers(
            own, SystemClock(), lambda: OwnReport(load), lambda: bool(load), 1
        )
        peers[name].serving = True
    rows = [
        ChangedRow(name, 1, msgspec.json.encode(view.own))
        for name, view in peers.items()
    ]
    for view in peers.values():
        view.apply(rows)
        jobs = JobGroup(SystemClock())
        view.start(jobs)
        case.addCleanup(view.close)
        case.addCleanup(jobs.stop)
    wait_until(lambda: len(peers["entry-2"].live()) == 2)
    gevent.sleep(0.1)
    load["dec-1"] = ServerLoad(1, 3000, 0)
    peers["entry-1"].report_soon()
    gevent.sleep(3 * MIN_REPORT_INTERVAL_S)
    case.assertEqual(peers["entry-2"].loads(), load)


def test_new_process_learns_the_loads_at_once(case):
    """Guards against placement without the loads of peers for half a second after each
    restart, and against a report in answer to each report."""
    peers, _ = make_peers()
    sent = []
    peers.report_now = lambda names=None, only_changes=False: sent.append(names)
    peers.receive(status(1))
    case.assertEqual(sent, [])
    peers._has_work = lambda: True
    peers.receive(status(2))
    peers.receive(status(1, process=6))
    peers.receive(status(2, process=6))
    case.assertEqual(sent, [{"entry-2"}])


def busy_status(sequence, servers=78):
    """Returns a full report with many loads and entries in the other fields."""
    loads = {f"i-{n:010x}": ServerLoad(20, 20000, 9000) for n in range(servers)}
    return PeerStatus(
        "front-santiago-1-39",
        2**63 - 1,
        sequence,
        True,
        loads,
        {"svc-0001": MeasuredDemand(3200.5, 33333.3, 1.25, 60)},
        {f"i-{n:010x}": "prefill" for n in range(4)},
        0.6,
        {f"{n:016x}": (f"{n:08x}",) for n in range(8)},
        {"op": 10**6, "servers": 10**6},
        tuple(f"i-{n:010x}" for n in range(4)),
    )


def test_report_after_crashes_keeps_its_details(case):
    """Guards against dropping what other instances must know of crashes, as loads and
    details don't fit into one datagram."""
    status = msgspec.structs.replace(
        busy_status(10**6),
        crashed_parts={f"{n:010x}": (f"{n:08x}",) for n in range(8)},
        blocked_parts={
            f"{n:010x}": PartBlock(99.9, 120.0, tuple(f"{n:08x}" for n in range(6)))
            for n in range(4)
        },
        sound_parts=tuple(f"{n:010x}" for n in range(6)),
        leaving={f"i-{n:010x}": 1764900000000 for n in range(4)},
        limits={f"i-{n:010x}": LimitNotice(1234567.125, 1.5) for n in range(4)},
    )
    datagrams = split_report(status)
    for datagram in datagrams:
        case.assertLess(len(msgspec.msgpack.encode(datagram)), MAX_DATAGRAM_BYTES)
    peers, _ = make_peers()
    for datagram in datagrams:
        peers.receive(msgspec.structs.replace(datagram, instance="entry-2"))
    case.assertEqual(peers.loads(), status.loads)
    (merged,) = peers.fresh_statuses()
    case.assertEqual(merged.crashed_parts, status.crashed_parts)


def test_details_and_crashes_that_do_not_fit_together_are_both_reported(case):
    """Guards against instances that learn nothing of crashes, or of changed tables,
    while many servers leave."""
    names = [f"{number:010x}" for number in range(8)]
    crashes = dict.fromkeys(names, ("12345678",))
    block = PartBlock(119.9, 120.0, ("12345678",) * 6)
    report = msgspec.structs.replace(
        status(1, loads={"dec-1": ServerLoad(1, 1, 1)}),
        crashes={f"{name}123456": ("12345678",) for name in names},
        versions={"servers": 10**6},
        leaving={f"decode-server-{number:03d}": 10**12 for number in range(25)},
        crashed_parts=crashes,
        sound_parts=tuple(names[:6]),
        blocked_parts=dict.fromkeys(names[:4], block),
    )
    peers, _ = make_peers()
    received = []
    peers._on_status = received.append
    for datagram in split_report(report):
        peers.receive(
            msgspec.msgpack.decode(encode_datagram(datagram), type=PeerStatus)
        )
    case.assertEqual(peers.loads(), report.loads)
    (merged,) = peers.fresh_statuses()
    case.assertEqual(merged.leaving, report.leaving)
    case.assertEqual(merged.versions, report.versions)
    for name in CRASH_FIELDS:
        values = [getattr(datagram, name) for datagram in received]
        case.assertIn(getattr(report, name), values)


def test_report_of_many_servers_fits_into_datagrams(case):
    """Guards against IP fragments, and against dropping loads, which placement needs,
    when many servers are busy."""
    datagrams = split_report(busy_status(10**6))
    for datagram in datagrams:
        case.assertLess(len(msgspec.msgpack.encode(datagram)), MAX_DATAGRAM_BYTES)
    peers, _ = make_peers()
    for datagram in datagrams:
        peers.receive(msgspec.structs.replace(datagram, instance="entry-2"))
    case.assertEqual(peers.loads(), busy_status(1).loads)
    case.assertEqual(peers.switching(), busy_status(1).switching)
    case.assertEqual(peers.lost_handles(), set(busy_status(1).lost_handles))


def test_lost_datagram_leaves_the_rest_of_a_report(case):
    """Guards against loads that are counted twice or forgotten when datagrams of a
    report are lost or late, or when the number of datagrams changes."""
    peers, _ = make_peers()
    first, second, *_ = split_report(
        msgspec.structs.replace(busy_status(1, 48), instance="entry-2")
    )
    peers.receive(second)
    case.assertEqual(peers.loads(), second.loads)
    peers.receive(first)
    case.assertEqual(len(peers.loads()), 48)
    newer = {name: ServerLoad(1, 1, 1) for name in first.loads}
    peers.receive(msgspec.structs.replace(first, sequence=2, loads=newer))
    peers.receive(first)
    case.assertEqual(peers.loads(), second.loads | newer)
    peers.receive(status(3, process=2**63 - 1, loads={"dec-1": ServerLoad(1, 2, 3)}))
    peers.receive(msgspec.structs.replace(second, sequence=2))
    case.assertEqual(peers.loads(), {"dec-1": ServerLoad(1, 2, 3)})


def changes(sequence, loads, process=5):
    """Returns a report of changed loads."""
    return PeerStatus("entry-2", process, sequence, True, loads, only_changes=True)


def test_changes_of_loads_follow_a_full_report(case):
    """Guards against loads that remain after their work has ended, or that a late
    datagram restores."""
    peers, _ = make_peers()
    peers.receive(changes(1, {"dec-1": ServerLoad(1, 1, 1)}))
    case.assertEqual(peers.loads(), {})
    peers.receive(status(2, loads={"dec-1": ServerLoad(1, 10, 0)}))
    peers.receive(changes(3, {"dec-1": ServerLoad(), "dec-2": ServerLoad(2, 5, 0)}))
    case.assertEqual(peers.loads(), {"dec-2": ServerLoad(2, 5, 0)})
    peers.receive(changes(2, {"dec-1": ServerLoad(9, 9, 9)}))
    case.assertEqual(peers.loads(), {"dec-2": ServerLoad(2, 5, 0)})
    peers.receive(status(4, loads={"dec-3": ServerLoad(3, 7, 0)}))
    case.assertEqual(peers.loads(), {"dec-3": ServerLoad(3, 7, 0)})
    peers.receive(changes(1, {"dec-4": ServerLoad(1, 1, 1)}, process=6))
    case.assertEqual(peers.loads(), {"dec-3": ServerLoad(3, 7, 0)})


def test_many_changes_take_several_datagrams(case):
    """Guards against dropping a datagram of changes because another one with the same
    sequence number arrived first."""
    peers, _ = make_peers()
    peers.receive(status(1))
    loads = {f"dec-{number}": ServerLoad(1, number, 0) for number in range(60)}
    datagrams = split_report(changes(2, loads))
    case.assertEqual(len(datagrams), 3)
    for datagram in datagrams:
        peers.receive(datagram)
    case.assertEqual(peers.loads(), loads)


def test_foreign_datagram_is_dropped(case):
    """Guards against unbounded memory use through foreign or corrupt datagrams."""
    peers, _ = make_peers()
    for part, parts in ((5, 3), (-1, 3), (0, 0), (10**6, 10**7)):
        peers.receive(
            msgspec.structs.replace(
                status(1, loads={"dec-1": ServerLoad(1, 1, 1)}), part=part, parts=parts
            )
        )
    case.assertEqual((peers.loads(), live_names(peers)), ({}, ["entry-1"]))


def receiving_peers(case):
    """Returns the view of a running ``entry-1`` and a function that sends it bytes."""
    address = f"127.0.0.1:{free_port()}"
    own = msgspec.structs.replace(make_registration("entry-1"), peer_address=address)
    peers = Peers(own, SystemClock(), OwnReport, bool, 1)
    jobs = JobGroup(SystemClock())
    peers.start(jobs)
    case.addCleanup(peers.close)
    case.addCleanup(jobs.stop)
    sock = case.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    return peers, lambda frame: sock.sendto(frame, split_address(address))


def test_no_datagram_ends_the_receiver(case):
    """Guards against an instance that no longer hears the others after a datagram of
    another program."""
    peers, send = receiving_peers(case)
    fields = msgspec.msgpack.encode(status(1))
    # The array gets one more element, which is an unknown field.
    count = len(msgspec.structs.fields(PeerStatus))
    case.assertEqual(fields[:3], bytes((0xDC, 0, count)))
    unknown_field = bytes((0xDC, 0, count + 1)) + fields[3:]
    for frame in (
        b"",
        b"\xc1",
        b"GET / HTTP/1.1",
        fields[:-1],
        fields.replace(b"entry-2", b"entry\xff\xfe"),
        b"\x91" * 1500,
        unknown_field + b"\x91" * 1500 + b"\xc0",
    ):
        send(frame)
    send(msgspec.msgpack.encode(status(2)))
    wait_until(lambda: peers.fresh_statuses(), timeout_s=2.0)


def test_report_with_odd_numbers_is_dropped(case):
    """Guards against NaN and infinity in what is computed from reports: an instance
    that counts as live for ever, and a balancer that ends."""
    peers, send = receiving_peers(case)
    demand = MeasuredDemand(100.0, 5000.0, 1.0, 30)
    odd = [{"interval_s": value} for value in (nan, inf, -1.0, 1e9)]
    for name in ("prompt_tokens", "prefill_speed", "decode_s", "prefill_base_s"):
        odd += [
            {"demands": {"lm": msgspec.structs.replace(demand, **{name: value})}}
            for value in (nan, inf, -1.0)
        ]
    odd.append({"demands": {"lm": msgspec.structs.replace(demand, streams=-30)}})
    odd += [{"limits": {"a": LimitNotice(value, 1.0)}} for value in (nan, inf)]
    odd += [{"limits": {"a": LimitNotice(1.0, value)}} for value in (nan, inf, -1.0)]
    odd += [
        {"loads": {"a": load}}
        for load in (
            ServerLoad(1, 2**64 - 1, 0),
            ServerLoad(-1, 0, 0),
            ServerLoad(0, -1, 0),
            ServerLoad(0, 0, -1),
        )
    ]
    for number, fields in enumerate(odd):
        name = f"odd-{number}"
        report = msgspec.structs.replace(status(1), instance=name, **fields)
        send(msgspec.msgpack.encode(report))
    send(msgspec.msgpack.encode(status(1)))
    wait_until(lambda: peers.fresh_statuses(), timeout_s=2.0)
    names = [report.instance for report in peers.fresh_statuses()]
    case.assertEqual(names, ["entry-2"])


def test_nested_row_does_not_hide_other_instances(case):
    """Guards against a row of another writer that ends the follower of the table."""
    peers, _ = make_peers()
    row = msgspec.json.encode(make_registration("entry-3"))
    nested = row[:-1] + b',"extra":' + b"[" * 10_000 + b"]" * 10_000 + b"}"
    peers.apply([ChangedRow("entry-3", 2, nested), ChangedRow("entry-4", 3, b"[")])
    peers.apply([ChangedRow("entry-5", 4, row.replace(b"entry-3", b"entry-5"))])
    names = {registration.instance for registration in peers.registrations()}
    case.assertEqual(names, {"entry-1", "entry-2", "entry-5"})


def test_odd_row_does_not_end_the_reports(case):
    """Guards against an address of another writer that ends the greenlet which reports
    to all instances, and against giving such an address to callers."""
    peers, _ = receiving_peers(case)
    other = case.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    other.bind(("127.0.0.1", 0))
    other.settimeout(2.0)
    odd = [
        {"peer_address": text}
        for text in (
            "",
            "127.0.0.1",
            "127.0.0.1:port",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            f"127.0.0.1:{10**20}",
            "127.0.0.1:\u00b2",
            "a..b:80",
            "entry-9.example:80",
        )
    ]
    odd += [{"caller_address": text} for text in ("", "entry-9", "127.0.0.1:70000")]
    odd += [{"instance": "entry-1"}, {"instance": "entry-2"}, {"cores": "1"}]
    rows = []
    for number, fields in enumerate(odd):
        name = f"odd-{number}"
        row = msgspec.to_builtins(make_registration(name)) | fields
        rows.append(ChangedRow(name, 1, msgspec.json.encode(row)))
    port = other.getsockname()[1]
    sound = make_registration("entry-2")
    sound = msgspec.structs.replace(sound, peer_address=f"127.0.0.1:{port}")
    rows.append(ChangedRow("entry-2", 1, msgspec.json.encode(sound)))
    peers.apply(rows)
    for _ in range(2):
        received = msgspec.msgpack.decode(other.recv(2048), type=PeerStatus)
        case.assertEqual(received.instance, "entry-1")
    names = {registration.instance for registration in peers.registrations()}
    case.assertEqual(names, {"entry-1", "entry-2"})


def test_change_that_overtakes_a_full_report_stays(case):
    """Guards against an older full report that undoes a newer change."""
    peers, _ = make_peers()
    peers.receive(status(1))
    peers.receive(changes(3, {"dec-1": ServerLoad(1, 10, 0)}))
    peers.receive(status(2, loads={"dec-2": ServerLoad(1, 20, 0)}))
    expected = {"dec-1": ServerLoad(1, 10, 0), "dec-2": ServerLoad(1, 20, 0)}
    case.assertEqual(peers.loads(), expected)


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, 2**32 - 1))
def test_loads_are_right_after_a_full_report_whatever_is_lost(case, seed):
    """Guards against wrong sums after datagrams are lost, duplicated or reordered."""
    rng = random.Random(seed)
    load = {}
    sender, _ = make_peers()
    sender._own_report = lambda: OwnReport(dict(load))
    receiver, _ = make_peers(1)
    sent = []
    for _ in range(rng.randint(1, 30)):
        name = f"dec-{rng.randint(1, 40)}"
        load[name] = ServerLoad(rng.randint(1, 3), rng.randint(1, 9), 0)
        load.pop(f"dec-{rng.randint(1, 40)}", None)
        report = sender.next_changes() if rng.random() < 0.7 else sender.next_report()
        sent += split_report(report) * rng.choice((0, 1, 1, 2))
    rng.shuffle(sent)
    last = split_report(sender.next_report())
    for datagram in [*sent, *last, *sent]:
        receiver.receive(msgspec.structs.replace(datagram, instance="entry-2"))
    case.assertEqual(receiver.loads(), load)


def test_report_of_an_unknown_peer_requests_one_read_of_the_table(case):
    """Guards against a running instance that stays unregistered, and against a call to
    the store for each of its reports."""
    peers, clock = make_peers()
    reads = []
    peers._on_unknown_peer = lambda: reads.append(1)
    peers.receive(status(1), "127.0.0.1:9")
    case.assertEqual(len(reads), 0)
    new_address = "127.0.0.1:10"
    peers.receive(status(2), new_address)
    peers.receive(status(3), new_address)
    case.assertEqual(len(reads), 1)
    unregistered = PeerStatus("entry-7", 5, 1, True, {})
    peers.receive(unregistered, "127.0.0.1:11")
    case.assertEqual(len(reads), 2)
    clock.advance(11)
    peers.receive(msgspec.structs.replace(unregistered, sequence=2), "127.0.0.1:11")
    case.assertEqual(len(reads), 3)


load_tests = collect(globals())
