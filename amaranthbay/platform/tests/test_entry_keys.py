"""Keys of workspaces through an entry daemon."""

from collections import Counter
from itertools import repeat

import gevent
import gevent.event
import msgspec

from amaranthbay.fleet.reports import PeerStatus, ServerLoad
from amaranthbay.platform.tests.fixtures import (
    call,
    call_raw,
    configuration,
    connect,
    entry_fixture,
    process_fixture,
    read_answer,
    request,
    spawn_call,
    stream_request,
)
from amaranthbay.platform.tests.test_entry_streams import (
    _fall_silent_unless_resumed,
    events,
)
from amaranthbay.utils.testing import collect, wait_until

KEY, OTHER_KEY = "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"
HEADERS = (("x-Credential", KEY), ("X-Tenant-Id", "other"))
TENANTS = ({"Name": "w-1", "ApiKeys": [KEY]}, {"Name": "w-2", "ApiKeys": [OTHER_KEY]})


def document(version, tenants=TENANTS, **route_fields):
    """Returns a configuration with workspaces, in wire format."""
    return configuration(version, **route_fields) | {"Tenants": tenants}


def configure(fixture, *args, **route_fields):
    """Brings a configuration with workspaces into force; see `document`."""
    fixture.store.put("op", "config", document(*args, **route_fields))
    wait_until(lambda: fixture.daemon.configuration.table.version == args[0])


def keyed_fixture(case, **options):
    """Returns an `EntryFixture` whose configuration has the `TENANTS`."""
    fixture = case.enterContext(entry_fixture(**options))
    configure(fixture, 2)
    return fixture


def access_headers(fixture):
    """Returns the key and the workspace of each request that a server got."""
    names = ("x-credential", "x-tenant-id")
    return [tuple(map(req.headers.get, names)) for req in all_received(fixture)]


def all_received(fixture):
    return [req for server in fixture.servers.values() for req in server.received]


def denied(case, answer):
    """Checks that an answer refuses a request for its key."""
    case.assertEqual(answer.status, 401)
    problem = msgspec.json.decode(answer.body)
    case.assertEqual(problem["title"], "unauthenticated")
    case.assertEqual(problem["verdict"], "not_run")


def test_servers_get_the_workspace_and_no_key_on_each_path(case):
    """Guards against a key that reaches a server, and a caller that names another
    workspace, on a path that builds its headers in another way."""
    fixture = keyed_fixture(case, plain=("desk-1", "desk-2"), decode=("dec-1", "dec-2"))
    desks = [fixture.servers[name] for name in ("desk-1", "desk-2")]
    for server in desks:
        server.replies += (
            # A hedge, and a retry of a refused call.
            lambda req, server=server: gevent.sleep(0.5) or server.stamped_reply(req),
            server.refusal(),
        )
    case.assertEqual(call(fixture, "/look/x", headers=HEADERS).status, 200)
    call(fixture, "/pay/x", headers=HEADERS)
    # A takeover, and a stream that its caller resumes.
    for server in (fixture.servers[name] for name in ("dec-1", "dec-2")):
        server.replies += (_fall_silent_unless_resumed(server),) * 2
    resumed = (*HEADERS, ("Last-Event-Id", "1"), ("Resumes", "a1"))
    for attempt, headers, first in (("a1", HEADERS, 1), ("a2", resumed, 2)):
        raw = stream_request("/resume/x", attempt, headers)
        case.assertEqual(call_raw(fixture.address, raw).body, events(first, 3))
    found = access_headers(fixture)
    case.assertGreaterEqual(len(found), 9)
    case.assertEqual(set(found), {(None, "w-1")})


def test_request_without_a_valid_key_is_not_sent(case):
    """Guards against a request that runs without a key, also on a connection whose
    earlier requests had one, and against a public route that needs one."""
    fixture = keyed_fixture(case)
    with connect(fixture.address) as sock:
        for headers in (
            (),
            (("X-Credential", "unknown"),),
            (("X-Credential", KEY), ("X-Credential", OTHER_KEY)),
            (("X-Tenant-Id", "w-1"),),
            (("X-Credential", f"{KEY},{KEY}"),),
        ):
            sock.sendall(request("/look/x", headers=headers))
            denied(case, read_answer(sock))
        resumed = (("Last-Event-Id", "1"), ("Resumes", "a1"))
        sock.sendall(stream_request("/resume/x", "a2", resumed))
        denied(case, read_answer(sock))
        case.assertEqual(access_headers(fixture), [])
        configure(fixture, 3, Public=True)
        for headers in (HEADERS[1:], (("X-Credential", "unknown"),), HEADERS):
            sock.sendall(request("/look/x", headers=headers))
            case.assertEqual(read_answer(sock).status, 200)
    expected = [(None, None), (None, None), (None, "w-1")]
    case.assertEqual(access_headers(fixture), expected)


def test_unknown_key_may_be_new_elsewhere(case):
    """Guards against a 401, after which no caller retries, by an instance that has not
    read the newest configuration."""
    fixture = keyed_fixture(case)
    status = PeerStatus("entry-2", 1, 1, True, {}, configuration=9)
    fixture.daemon.peers.receive(status)
    answer = call(fixture, "/look/x", headers=(("X-Credential", "new"),))
    case.assertEqual((answer.status, answer.headers["retry-after"]), (503, "0.500"))
    case.assertEqual(call(fixture, "/look/x", headers=HEADERS).status, 200)
    denied(case, call(fixture, "/look/x"))


def test_removed_key_ends_what_waits_and_not_what_runs(case):
    """Guards against a queued request that runs with a removed key, and against a
    stream of a server that the removal cuts, even if it has to go on at another one."""
    fixture = keyed_fixture(case, plain=("desk-1", "desk-2"), decode=("dec-1", "dec-2"))
    removed = gevent.event.Event()

    dec = fixture.servers["dec-1"]

    def parts():
        yield events(1, 1)
        removed.wait(10.0)
        yield b""

    def break_off(req):
        return dec.stamped_reply(req, chunks=parts(), pauses=repeat(0.0), cut=True)

    def fill(name):
        return fixture.daemon.placed_load.add(name, ServerLoad(8, 10_000, 0))

    releases = [fill("dec-2")]
    dec.replies.append(break_off)
    raw = stream_request("/resume/x", "a1", HEADERS)
    running = gevent.spawn(call_raw, fixture.address, raw)
    wait_until(lambda: dec.received)
    releases.append(fill("dec-1"))
    raw = stream_request("/sum/x", "a2", HEADERS)
    queued = gevent.spawn(call_raw, fixture.address, raw)
    wait_until(lambda: fixture.daemon.queue.length() == 1)

    def refuse_and_remove(req):
        configure(fixture, 3, TENANTS[1:])
        return fixture.servers["desk-1"].refusal()

    for name in ("desk-1", "desk-2"):
        fixture.servers[name].replies.append(refuse_and_remove)
    retried = spawn_call(fixture, "/pay/x", headers=HEADERS, attempt="a3")
    denied(case, retried.get())
    removed.set()
    for release in releases:
        release()
    denied(case, queued.get())
    case.assertEqual(running.get().body, events(1, 3))
    attempts = Counter(req.headers["x-attempt-id"] for req in all_received(fixture))
    case.assertEqual((attempts["a2"], attempts["a3"]), (0, 1))


def test_headers_are_forwarded_as_before_without_workspaces(case):
    """Guards against a deployment without keys whose requests change."""
    fixture = case.enterContext(entry_fixture())
    case.assertEqual(call(fixture, "/look/x", headers=HEADERS).status, 200)
    configure(fixture, 2, None)
    case.assertEqual(call(fixture, "/look/x", headers=HEADERS).status, 200)
    case.assertEqual(access_headers(fixture), [(KEY, "other")] * 2)


def test_log_names_workspaces_and_no_key(case):
    """Guards against a key in a log line, and a refusal without its workspace."""
    process, store, _ = case.enterContext(process_fixture(decode=()))
    store.put("op", "config", document(2))
    twice = ({"Name": "w-1", "ApiKeys": [KEY]}, {"Name": "w-3", "ApiKeys": [KEY]})
    store.put("op", "config", document(3, twice))
    wait_until(lambda: process.events("configuration_unreadable"))
    for path, key in (("/look/x", KEY), ("/sum/x", KEY), ("/look/x", "unknown-key")):
        raw = stream_request(path, headers=(("X-Credential", key),))
        call_raw(process.address, raw)
    wait_until(lambda: len(process.events("request_ended")) == 3)
    ended = process.events("request_ended")
    case.assertEqual(
        [(line.get("reason"), line.get("workspace")) for line in ended],
        [(None, None), ("no_backend_server", "w-1"), ("unauthenticated", None)],
    )
    accepted = process.events("request_accepted")
    case.assertEqual([line["workspace"] for line in accepted], ["w-1", "w-1"])
    text = process.log_path.read_text()
    case.assertNotIn(KEY, text)
    case.assertNotIn("unknown-key", text)


load_tests = collect(globals())
