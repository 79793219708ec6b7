"""Decoding of the platform's configuration, server entries, settings and headers."""

import ipaddress
import json
import tempfile
from pathlib import Path

import msgspec
from hypothesis import given, settings, strategies as st

from amaranthbay.fleet.reports import LimitNotice, ServerLoad
from amaranthbay.platform.boot import load_boot_settings
from amaranthbay.platform.calls import PlatformCallCodec
from amaranthbay.platform.documents import decode_configuration, decode_server
from amaranthbay.platform.tests.fixtures import configuration
from amaranthbay.relay.codec import ForwardOptions
from amaranthbay.routing import CallKind, EntryRevision, Stage
from amaranthbay.utils.http import split_address
from amaranthbay.utils.testing import collect
from amaranthbay.workspaces import QuotaUnit, Workspace

ENTRY = {
    "Service": "lm",
    "Address": "10.0.0.9:80",
    "Zone": "z",
    "Slots": 4,
    "State": "ready",
    "Stage": "decode",
    "Sequence": 1,
}
DEEP = b"[" * 100_000 + b"]" * 100_000
BOOT_FILE = """
NodeName = "n-1"
Ip = "10.0.0.1"
Zone = "z"
Region = "r"
InternalPorts = [7000, 7010]
SomethingNew = { a = 1 }
[Listen]
Front = "10.0.0.1:81"
Ready = "10.0.0.1:82"
[Platform]
Address = "10.9.0.1:83"
PartWritesS = 150
[Limits]
CpuShare = 0.5
Cores = 2
[Bounds]
GraceS = 8
BudgetSlack = 58
LeaseMs = 3000
"""


def decode_entry(**changes):
    """Decodes `ENTRY` with other values in some fields."""
    return decode_server("i-1", msgspec.json.encode(ENTRY | changes))


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(10**18, 10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=("Cs",)), max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from([*ENTRY, "born", "x"]), inner, max_size=3),
    max_leaves=6,
)
ADDRESSES = st.builds(
    "{}:{}".format,
    st.sampled_from(("10.0.0.9", "h", "", "a..b", "\u0663", "::1", "x" * 70)),
    st.integers(-1, 70_000) | st.sampled_from(("", "80 ", "\u0663", 10**30)),
)
CHANGES = st.dictionaries(
    st.sampled_from([*ENTRY, "born", "x"]), JSON_VALUES | ADDRESSES, max_size=3
)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    changes=CHANGES, cut=st.none() | st.integers(0, 300), noise=st.binary(max_size=4)
)
def check_any_entry(changes, cut, noise):
    """Checks that a server which is read can be connected to, named and reported."""
    body = json.dumps(ENTRY | changes).encode()
    decoded = decode_server("i-1", body if cut is None else body[:cut] + noise)
    if decoded.is_err():
        return
    server = decoded.unwrap()
    host, port = split_address(server.address)
    assert host and 1 <= port <= 65535
    ipaddress.ip_address(host)
    assert server.slots >= 1
    revision = (server.revision.started_ms, server.revision.sequence)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(revision)) == list(revision)


def test_server_entry_is_read(case):
    """Guards against a misread stage, state or software version."""
    server = decode_entry(Version="v1.2").unwrap()
    case.assertEqual((server.name, server.stage), ("i-1", Stage.DECODE))
    case.assertEqual(server.version, "v1.2")
    case.assertFalse(server.draining)
    case.assertTrue(decode_entry(State="draining").unwrap().draining)
    plain = {key: value for key, value in ENTRY.items() if key != "Stage"}
    case.assertIsNone(decode_server("i", msgspec.json.encode(plain)).unwrap().stage)


def test_entry_of_another_writer_names_no_server(case):
    """Guards against a server whose entry has invalid fields or is no JSON object."""
    for changes in (
        {"Address": 7},
        {"Address": "nowhere"},
        {"Address": ":80"},
        {"State": "resting"},
        {"Stage": "both ends"},
        {"Slots": "many"},
        {"Service": None},
        {"Version": 1.2},
        {"Version": "v" * 129},
        {"Address": "10.0.0.9:0"},
        {"Address": "10.0.0.9:65536"},
        {"Address": f"10.0.0.9:{10**20}"},
        {"Address": f"10.0.0.9:{'9' * 5000}"},
        {"Address": "10.0.0.9:\u0663"},
        {"Address": "10.0.0.9:\u00b2"},
        {"Address": "10.0.0.9:+80"},
        {"Address": "10.0.0.9: 80"},
        {"Address": "10.0.0.9:80\n"},
        {"Address": "10.0.0:80"},
        {"Address": "10.0.0.999:80"},
        {"Address": "a..b:80"},
        {"Address": "a b:80"},
        {"Address": "a\x00b:80"},
        {"Address": "a\r\nX-Hop: 1:80"},
        {"Address": f"{'a' * 64}:80"},
        {"Address": "[::1]:80"},
        {"Address": "::1%a\r\nX-Hop: 1:80"},
        {"Address": "worker.example:80"},
        {"Address": "localhost:80"},
        {"Slots": 2**63},
        {"Slots": -(10**30)},
        {"Slots": 1.5},
        {"Sequence": 10**30},
        {"born": 10**30},
        {"born": -(2**64)},
    ):
        with case.subTest(changes):
            case.assertTrue(decode_entry(**changes).is_err())
    for raw in (b"", b"\xff\xfe", b"[]", b"{", b"null"):
        case.assertTrue(decode_server("i", raw).is_err())


def test_ip_addresses_of_all_forms_are_read(case):
    """Guards against leaving out a server for the form of its address."""
    for address in ("10.0.0.9:1", "10.0.0.9:65535", "::1:80", "fd00::1:2:65535"):
        with case.subTest(address):
            case.assertEqual(decode_entry(Address=address).unwrap().address, address)


def test_key_that_no_header_can_carry_names_no_server(case):
    """Guards against a key of another writer that adds a header to requests."""
    body = msgspec.json.encode(ENTRY)
    for key in ("", "a\r\nX-Hop: 1", "a\nb", "a\x00", "a\x7f", " a", "a ", "n" * 129):
        with case.subTest(key):
            case.assertTrue(decode_server(key, body).is_err())
    for key in ("i-1", "desk/1", "n" * 128, "caf\u00e9 1"):
        case.assertEqual(decode_server(key, body).unwrap().name, key)


def test_any_entry_is_read_or_refused(case):
    """Guards against an entry of any form that ends the follower of the table."""
    check_any_entry()


def test_deeply_nested_bytes_are_unreadable(case):
    """Guards against a RecursionError that ends whoever reads a row or an answer."""
    codec = PlatformCallCodec()
    decoders = (
        lambda body: decode_server("i-1", body),
        decode_configuration,
        codec.read_prefill,
        codec.read_hold,
        codec.read_report,
    )
    entry = msgspec.json.encode(ENTRY)
    for body in (DEEP, b'{"Extra":' + DEEP + b"}", b'{"Extra":' + DEEP + b"," + entry):
        for decode in decoders:
            case.assertTrue(decode(body).is_err())
    nested_entry = entry[:-1] + b',"Extra":' + DEEP + b"}"
    case.assertTrue(decode_server("i-1", nested_entry).is_err())


def test_configuration_is_read(case):
    """Guards against fields that are lost or read in the wrong unit."""
    table = decode_configuration(msgspec.json.encode(configuration(7))).unwrap()
    case.assertEqual(table.version, 7)
    route = table.find("shop.example", "/resume/x")
    case.assertEqual((route.kind, route.resumable), (CallKind.STREAM, True))
    case.assertEqual((route.timeout_s, route.max_gap_s), (3.0, 0.3))
    case.assertTrue(route.repeatable)
    engine = table.services["lm"].engine
    case.assertEqual((engine.memory_tokens, engine.hold_ttl_s), (10000, 2.0))
    case.assertEqual(table.limits.header_timeout_s, 0.5)
    case.assertTrue(decode_configuration(b"{}").is_err())
    case.assertTrue(decode_configuration(b"\xff").is_err())


def test_workspaces_are_read_or_refused_as_a_whole(case):
    """Guards against misread quotas, names that end a header, two owners of a key, and
    a secret in the text of an error."""
    tenant = {"Name": "w", "ApiKeys": ["key-1", "key-2"], "Priority": 0}
    quota = {"Unit": "token_stream", "PlainTokens": 9, "RatePerS": 8, "Burst": 7.5}

    def decode(*tenants):
        return decode_configuration(
            msgspec.json.encode(configuration(Public=True) | {"Tenants": tenants})
        )

    table = decode(tenant | quota, {"Name": "plain", "ApiKeys": None}).unwrap()
    expected = Workspace("w", 0, 8.0, 7.5, QuotaUnit.TOKENS, 9)
    case.assertEqual(table.workspaces.find(b"key-2"), expected)
    case.assertEqual(table.workspaces.named("plain"), Workspace("plain"))
    case.assertEqual([each.public for each in table.routes], [True] + [False] * 5)
    case.assertEqual(len(decode().unwrap().workspaces), 0)
    document = msgspec.json.encode(configuration() | {"Tenants": None})
    case.assertIsNone(decode_configuration(document).unwrap().workspaces)
    names = ("", " w", "a\nb", "a\r\nX-Hop: 1", "n" * 129, "a\x00")
    for wrong in (
        *({"Name": name} for name in names),
        {"Name": "w"},
        {"Name": "v", "ApiKeys": ["key-3", "key-1"]},
        {"Name": "v", "ApiKeys": ["key-4", 5]},
        {"Name": "v", "RatePerS": -1},
        {"ApiKeys": ["key-4"]},
    ):
        with case.subTest(wrong):
            case.assertNotIn("key-", decode(tenant, wrong).unwrap_err())


def test_unknown_kind_is_never_repeated(case):
    """Guards against repeating requests of a kind that this version doesn't know."""
    document = configuration()
    document["Routes"][0]["Kind"] = "sometimes"
    table = decode_configuration(msgspec.json.encode(document)).unwrap()
    case.assertFalse(table.find("shop.example", "/look/").repeatable)


def test_settings_are_read_and_new_fields_ignored(case):
    """Guards against failing on the boot file of a newer platform."""
    folder = case.enterContext(tempfile.TemporaryDirectory())
    path = Path(folder) / "node.toml"
    path.write_text(BOOT_FILE)
    settings = load_boot_settings(path).unwrap()
    case.assertEqual((settings.instance, settings.peer_port), ("n-1", 7000))
    case.assertEqual((settings.stop_s, settings.order_turn_s), (8.0, 3.0))
    case.assertEqual(settings.store_part_writes_per_s, 150.0)
    case.assertEqual((settings.limits.cores, settings.lookup_address), (1.0, ""))
    path.write_text(BOOT_FILE.replace('Zone = "z"', ""))
    case.assertIn("Zone", load_boot_settings(path).unwrap_err())
    case.assertTrue(load_boot_settings(Path(folder) / "none").is_err())


def test_unreadable_call_headers_are_ignored(case):
    """Guards against headers of a caller that crash a process."""
    codec = PlatformCallCodec()
    head = codec.read_call(
        (
            (b"x-deadline-ms", b"soon"),
            (b"x-token-count", b"many"),
            (b"last-event-id", b"\xff"),
            (b"x-prompt-prefix", b",,:"),
        )
    )
    case.assertEqual((head.deadline_s, head.prompt_tokens), (None, 0))
    case.assertIsNone(head.last_event_id)


def test_numbers_of_any_size_fit_into_reports(case):
    """Guards against a number in a header that can't be reported to other instances,
    and so ends the greenlet that reports."""
    codec = PlatformCallCodec()
    for number in (b"9" * 30, b"-" + b"9" * 30, b"9" * 4000, b"9" * 5000):
        head = codec.read_call(
            ((b"x-token-count", number + b"," + number), (b"x-length-hint", number))
        )
        load = ServerLoad(1, head.prompt_tokens + head.max_output_tokens, 0)
        hint = ServerLoad(1, head.expected_tokens or 0, head.prompt_tokens)
        for each in (load, hint, load + hint):
            raw = msgspec.msgpack.encode(each)
            case.assertEqual(msgspec.msgpack.decode(raw, type=ServerLoad), each)
            case.assertGreaterEqual(each.memory_tokens, 0)
    for rate in (b"9" * 30, b"1e300", b"0"):
        notice = LimitNotice(
            1.0, codec.read_answer(200, ((b"server-limit", rate),)).limit_per_s
        )
        raw = msgspec.msgpack.encode(notice)
        case.assertEqual(msgspec.msgpack.decode(raw, type=LimitNotice), notice)


def test_identifier_of_a_server_adds_no_header(case):
    """Guards against an answer whose identifier ends the line of a header or a path."""
    codec = PlatformCallCodec()
    for text in ("a\r\nX-Hop: 1", "a\n", "a b", "a\x00", "\u00e9"):
        hold = msgspec.json.encode({"Hold": text})
        handle = msgspec.json.encode({"KvHandle": text, "Tokens": 1})
        case.assertTrue(codec.read_hold(hold).is_err(), text)
        case.assertTrue(codec.read_prefill(handle).is_err(), text)
    case.assertEqual(codec.read_hold(b'{"Hold":"k/1-a.b:2"}').unwrap(), "k/1-a.b:2")
    huge = msgspec.json.encode({"KvHandle": "a", "Tokens": 10**40})
    case.assertTrue(codec.read_prefill(huge).is_err())


def test_headers_of_one_connection_are_not_forwarded(case):
    """Guards against forwarding hop-by-hop headers, or what ``Connection`` names."""
    codec = PlatformCallCodec()
    headers = (
        (b"Host", b"h"),
        (b"Connection", b"close, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"X-Kept", b"2"),
    )
    sent = codec.forward_headers(headers, ForwardOptions("i-1", 1.5))
    names = [name for name, _ in sent]
    case.assertEqual(
        names, [b"Host", b"X-Kept", b"x-expect-instance", b"x-deadline-ms"]
    )


def test_revision_of_an_entry_is_read(case):
    """Guards against old entries of a restored store that look like newer ones."""
    entry = {"Service": "s", "Address": "10.0.0.9:1", "Zone": "z", "State": "ready"}
    plain = decode_server("a", msgspec.json.encode(entry)).unwrap()
    case.assertEqual(plain.revision, EntryRevision())
    revised = entry | {"Sequence": 7, "born": 1_764_806_400_123}
    server = decode_server("a", msgspec.json.encode(revised)).unwrap()
    case.assertEqual(server.revision, EntryRevision(1_764_806_400_123, 7))
    case.assertLess(plain.revision, server.revision)
    # Equality of servers ignores the revision of the entry.
    case.assertEqual(plain, server)
    for wrong in ({"born": "x"}, {"Sequence": None}):
        case.assertTrue(decode_server("a", msgspec.json.encode(entry | wrong)).is_err())


load_tests = collect(globals())
