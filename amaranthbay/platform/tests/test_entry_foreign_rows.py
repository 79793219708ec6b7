"""An entry daemon whose tables hold rows that other writers have left."""

import copy
import json
import random
from math import inf, nan
from unittest import mock

import gevent
import msgspec
from gevent import select, socket

from amaranthbay.daemon import polling
from amaranthbay.fleet.peers import Registration
from amaranthbay.fleet.reports import PeerStatus
from amaranthbay.platform.rows import RowStore, RowTable
from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    configuration,
    entry_fixture,
    entry_process,
    request,
    server_entry,
    stream_request,
)
from amaranthbay.platform.tests.standins import (
    Reply,
    ServerStandin,
    StoreStandin,
    serve_http,
)
from amaranthbay.platform.types import CommitState
from amaranthbay.state.leases import LeaseStore
from amaranthbay.utils.http import split_address
from amaranthbay.utils.testing import ManualClock, collect, wait_until

DEEP = "[" * 100_000 + "]" * 100_000
HUGE = "9" * 4000
# Field of an entry and its value as JSON text.
ODD_FIELDS = {
    "nested unknown field": ("Extra", DEEP),
    "nested objects": ("Extra", '{"a":' * 50_000 + "0" + "}" * 50_000),
    "nested field": ("Zone", DEEP),
    "unclosed field": ("Extra", "[" * 100_000),
    "huge slots": ("Slots", HUGE),
    "slots beyond 64 bits": ("Slots", str(2**64)),
    "slots beyond any number": ("Slots", "1e999"),
    "huge start": ("born", HUGE),
    "start beyond 64 bits": ("born", str(2**70)),
    "huge sequence": ("Sequence", str(-(2**70))),
    "port out of range": ("Address", '"127.0.0.1:70000"'),
    "port 0": ("Address", '"127.0.0.1:0"'),
    "huge port": ("Address", f'"127.0.0.1:{HUGE}"'),
    "port of other digits": ("Address", '"127.0.0.1:\u00b2"'),
    "address without a port": ("Address", '"127.0.0.1"'),
    "empty host": ("Address", '":80"'),
    "empty label": ("Address", '"a..b:80"'),
    "long label": ("Address", f'"{"a" * 300}:80"'),
    "host name": ("Address", '"worker.example:80"'),
    "zone of an IP address": ("Address", '"fe80::1%a\\r\\nX-Hop: 1:80"'),
    "NUL in the host": ("Address", '"a\\u0000b:80"'),
    "line end in the host": ("Address", '"a\\r\\nX-Hop: 1:80"'),
    "lone surrogate": ("Address", '"\\ud800:80"'),
    "unknown state": ("State", '"resting"'),
    "state of another type": ("State", "7"),
    "unknown stage": ("Stage", '"both"'),
    "no service": ("Service", "null"),
}
ODD_VALUES = (b"", b"\x00", b"\xff\xfe", b"null", b"[]", b"{", DEEP.encode())
# Keys of rows with a sound entry that can't be the name of a server.
ODD_KEYS = ("", "a\r\nX-Hop: 1", "a\x00b", " a", "n" * 5000)


# Values that replace parts of sound rows and datagrams, as JSON text and as values.
ODD_TEXTS = (
    *(
        "0",
        "-1",
        "null",
        "true",
        "[]",
        "{}",
        "[null]",
        '""',
        '"x"',
        '"a\\r\\nb"',
        "0.5",
    ),
    *("1e308", "-1e308", "1e999", "9" * 400, "-" + "9" * 30, str(2**63 - 1)),
    *(str(-(2**63)), "[" * 3000 + "]" * 3000, '"127.0.0.1:1"', '"127.0.0.1:99999"'),
)
ODD_PARTS = (
    *(0, -1, 2**63, 2**64 - 1, -(2**63), 1e300, nan, inf, -inf, None, True, "x", ""),
    *(b"\xff", [], {}, [[]], {"": []}, {"a": 1}, ["a"] * 50),
)
REPORT = [
    *(
        "entry-9",
        5,
        1,
        True,
        {"dec-1": [1, 2, 3]},
        {"lm": [100.0, 500.0, 1.0, 40, 0.1]},
    ),
    *({"pre-9": "decode"}, 0.2, {"f" * 16: ["a"]}, {"op": 1}, ["pre-9"], 0, 1, False),
    *(None, 1, {"desk-9": 5}, {"dec-9": [1.0, 2.0]}),
]


def places_of(value):
    """Yields the container and the key of each part of a value of lists and dicts."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, part in items:
        yield value, key
        if isinstance(part, (dict, list)):
            yield from places_of(part)


def spoil_row(document, rng):
    """Returns a row in which one part of a document has another value."""
    document = copy.deepcopy(document)
    container, key = rng.choice(list(places_of(document)))
    container[key] = "@"
    return json.dumps(document).replace('"@"', rng.choice(ODD_TEXTS)).encode()


def spoil_report(sender, rng):
    """Returns a datagram in which one part of a report has another value."""
    report = copy.deepcopy(REPORT)
    container, key = rng.choice(list(places_of(report)))
    container[key] = rng.choice(ODD_PARTS)
    if container is not report or key:
        report[0] = sender
    return msgspec.msgpack.encode(report)


def odd_entries(service, address):
    """Yields a description and the bytes of each entry that names no server.

    Args:
        service: Service that most of the entries name.
        address: Address that most of the entries name.
    """
    entry = server_entry(service, address)
    for title, (name, text) in ODD_FIELDS.items():
        body = json.dumps(entry | {name: "@"}, ensure_ascii=False)
        yield title, body.replace('"@"', text).encode()
    for value in ODD_VALUES:
        yield f"{value[:10]!r}", value


def failures_of(log_lines):
    """Returns the lines of a log that report a defect or an ended job."""
    failures = ("defect", "job_failed", "row_failed")
    return [line for line in log_lines if line["event"] in failures]


def test_process_serves_and_follows_beside_odd_entries(case):
    """Guards against one entry of another writer that ends a process, stops it from
    following the list, or costs requests."""
    store, server = StoreStandin(), ServerStandin("desk-1")
    store_address = case.enterContext(serve_http(store.answer))
    server_address = case.enterContext(serve_http(server.answer))
    store.put("op", "config", configuration())
    sound = server_entry("desk", server_address)
    store.put("servers", "desk-1", sound)
    with entry_process(store_address) as entry:

        def status_of_call():
            return call_raw(entry.address, request("/look/x")).status

        wait_until(lambda: status_of_call() == 200)
        for number, (title, value) in enumerate(odd_entries("desk", server_address)):
            store.put("servers", f"odd-{number}", value)
        for key in ODD_KEYS:
            store.put("servers", key, sound)
        for _ in range(60):
            # The entries arrive during these calls.
            case.assertEqual(status_of_call(), 200)
            gevent.sleep(0.02)
        store.put("servers", "desk-1", sound | {"State": "draining"})
        wait_until(lambda: status_of_call() == 503)
        server.name = "desk-2"
        store.put("servers", "desk-2", sound)
        wait_until(lambda: status_of_call() == 200)
        case.assertIsNone(entry.process.poll())
        case.assertEqual(failures_of(entry.log_lines()), [])


def test_no_part_of_a_row_or_a_report_ends_a_job(case):
    """Guards against a value anywhere in a row or a datagram of another program that
    ends a job, or a request as a defect."""
    rng = random.Random(5)
    store, server = StoreStandin(), ServerStandin("desk-1")
    decode_server = ServerStandin("dec-1", stage="decode")
    store_address = case.enterContext(serve_http(store.answer))
    address = case.enterContext(serve_http(server.answer))
    decode_address = case.enterContext(serve_http(decode_server.answer))
    store.put("op", "config", configuration())
    store.put("servers", "desk-1", server_entry("desk", address))
    store.put("servers", "dec-1", server_entry("lm", decode_address, "decode"))
    sock = case.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    with entry_process(store_address) as entry:
        peer_address = split_address(entry.peer_address)
        member = Registration("", "z", "r", "127.0.0.1:5", entry.peer_address)
        member = msgspec.to_builtins(member)
        for number in range(40):
            for _ in range(15):
                odd = spoil_row(server_entry("desk", address, "decode"), rng)
                store.put("servers", f"odd-{rng.randrange(30)}", odd)
                name = f"entry-{rng.randrange(20, 40)}"
                odd = spoil_row(member | {"instance": name}, rng)
                store.put("members", name, odd)
                sock.sendto(spoil_report(name, rng), peer_address)
            path = f"/sum/{number}"
            call_raw(entry.address, stream_request(path, attempt=f"a{number}"))
            call_raw(entry.address, request(f"/look/{number}", attempt=f"b{number}"))
        store.put("op", "config", configuration(version=2))
        in_force = ("configuration_in_force", 2)
        wait_until(
            lambda: in_force
            in ((line["event"], line.get("version")) for line in entry.log_lines())
        )
        case.assertIsNone(entry.process.poll())
        case.assertEqual(failures_of(entry.log_lines()), [])


def test_each_odd_entry_leaves_the_others_in_use(case):
    """Guards against an odd entry that gets requests, or keeps later entries out."""
    case.enterContext(mock.patch.object(polling, "SERVERS_BATCH_DELAY_S", 0.01))
    fixture = case.enterContext(entry_fixture(plain=("desk-1", "desk-2")))
    address = fixture.addresses["desk-2"]
    # `desk-1` is sound all the time; the entry of `desk-2` turns odd and back.
    for title, value in odd_entries("desk", address):
        with case.subTest(title):
            fixture.store.put("servers", "desk-2", value)
            fixture.wait_for_servers("desk", 1)
            case.assertEqual(call(fixture, "/look/x").status, 200)
            fixture.write_entry("desk-2", "desk")
            fixture.wait_for_servers("desk", 2)


def test_huge_numbers_of_callers_do_not_end_the_reports(case):
    """Guards against a header of a caller after which this instance reports to no other
    one any more."""
    fixture = case.enterContext(entry_fixture())
    other = case.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    other.bind(("127.0.0.1", 0))
    other.settimeout(6.0)
    own = fixture.daemon.peers.own
    address = f"127.0.0.1:{other.getsockname()[1]}"
    row = msgspec.structs.replace(own, instance="entry-2", peer_address=address)
    fixture.store.put("members", "entry-2", msgspec.json.encode(row))
    fixture.daemon._read_instances()
    other.recv(2048)
    server = fixture.servers["dec-1"]
    beyond_64_bits = 10**25
    for tokens, hint in (
        (f"1,{HUGE}", "1"),
        (f"1,{HUGE}", "x"),
        (f"{HUGE},1", "1"),
        (f"1,{beyond_64_bits}", "x"),
        (f"{beyond_64_bits},1", "1"),
        ("1,1", f"-{beyond_64_bits}"),
    ):
        # The stream lasts for some regular reports if it is placed.
        server.replies.append(lambda req: gevent.sleep(0.6) or server.stream_reply(req))
        headers = (
            ("X-Token-Count", tokens),
            ("X-Length-Hint", hint),
            ("X-Deadline-Ms", "900"),
        )
        with case.subTest(tokens=tokens[:30], hint=hint):
            answer = call(fixture, "/sum/x", "POST", b"prompt", headers)
            case.assertNotEqual(answer.status, 500)
    while select.select([other], [], [], 0)[0]:
        other.recv(2048)
    report = msgspec.msgpack.decode(other.recv(2048), type=PeerStatus)
    case.assertEqual(report.instance, "entry-1")


def test_nested_answers_of_the_store_are_failures(case):
    """Guards against an answer or a row of the store that ends a follower or a job."""
    nested = b'{"Ver":1,"Extra":' + DEEP.encode() + b"}"
    address = case.enterContext(serve_http(lambda req: Reply(200, (), nested)))
    rows = RowStore(address)
    case.assertTrue(rows.snapshot("t").is_err())
    case.assertTrue(rows.changes("t", 0, 0.0).is_err())
    case.assertEqual(rows.put("t", "a", b"1"), CommitState.UNKNOWN)
    store = StoreStandin()
    table = RowTable(RowStore(case.enterContext(serve_http(store.answer))), "leases")
    store.put("leases", "a", DEEP.encode())
    store.put("leases", "b", b"\xff")
    store.put("leases", "c", b"1")
    case.assertTrue(table.read("a").is_err())
    case.assertTrue(table.read("b").is_err())
    case.assertEqual([row.key for row in table.scan("").unwrap()], ["c"])


def test_odd_lease_row_is_held_by_no_one(case):
    """Guards against a row of another writer that ends the stage balancer, and against
    a lease whose fence starts anew because the last one is unknown."""
    store = StoreStandin()
    table = RowTable(RowStore(case.enterContext(serve_http(store.answer))), "leases")
    clock = ManualClock()
    leases = LeaseStore(table, clock, "n-1")
    clock.advance(10.0)
    case.assertEqual(leases.acquire("stages", 2.0).fence, 1)
    sound = store.value("leases", "lease/stages")
    odd = [sound | {"fence": value} for value in ("1", None, 1.5, 10**30)]
    odd += [{}, [], 7, None, sound | {"holder": 3}, sound | {"duration_s": "x"}]
    for value in (*odd, *ODD_VALUES):
        with case.subTest(str(value)[:40]):
            store.put("leases", "lease/stages", value)
            clock.advance(60.0)
            case.assertIsNone(leases.acquire("stages", 2.0))
    store.put("leases", "lease/stages", sound | {"holder": ""})
    clock.advance(60.0)
    case.assertEqual(leases.acquire("stages", 2.0).fence, 2)


def test_every_job_of_a_daemon_runs_again_after_a_defect(case):
    """Guards against a background job that ends for good at one unexpected value."""
    fixture = case.enterContext(entry_fixture())
    daemon = fixture.daemon
    raised, reached = set(), set()

    def raise_once(target, name):
        """Makes the first call of a method raise, and notes the later ones."""
        method = getattr(target, name)

        def replacement(*args, **kwargs):
            if name not in raised:
                raised.add(name)
                raise OverflowError(name)
            reached.add(name)
            return method(*args, **kwargs)

        case.enterContext(mock.patch.object(target, name, replacement))

    raise_once(daemon.balancer, "step")
    raise_once(daemon.ctx.pauses, "sweep")
    raise_once(daemon.peers, "next_report")
    raise_once(daemon.peers, "receive")
    raise_once(daemon.store, "changes")
    address = split_address(daemon.peers.own.peer_address)
    sock = case.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    report = msgspec.msgpack.encode(PeerStatus("entry-2", 1, 1, True, {}))

    def all_reached():
        sock.sendto(report, address)
        # Ends the open polls, so that the followers call the store again.
        fixture.write_entry("desk-1", "desk")
        gevent.sleep(0.1)
        return len(reached) == 5

    wait_until(all_reached, timeout_s=10.0)
    case.assertEqual(call(fixture, "/look/x").status, 200)


load_tests = collect(globals())
