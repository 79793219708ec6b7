"""Requests that share a part which crashes each decode server that runs them."""

import itertools
import time
from unittest import mock

import gevent

from amaranthbay.platform.tests.fixtures import call_raw, entry_fixture, request
from amaranthbay.relay import crashes
from amaranthbay.utils.testing import collect, wait_until

DECODE = ("dec-1", "dec-2", "dec-3", "dec-4")
CRASHING = "bad0"
# Crashes after which no request with the part may reach a server.
MAX_CRASHES = 5


class CrashingServers:
    """Decode servers of an `EntryFixture` that crash on the part `CRASHING`.

    Attributes:
        crashed: Names of the servers that have crashed. Each of them is replaced at
            once by one with another name at its address.
        replies: By attempt id, function of a `ServerStandin` and a request that returns
            its `Reply`. The server doesn't crash on it.
    """

    def __init__(self, fixture, first_event_s=None, pause_s=0.0):
        """Makes the servers of a fixture crash.

        Args:
            fixture: `EntryFixture`.
            first_event_s: Seconds between the head of an answer and its first event,
                after which the server crashes; None to crash before the head.
            pause_s: Seconds for which this process pauses after the event.
        """
        self.crashed = []
        self.replies = {}
        self._first_event_s = first_event_s
        self._pause_s = pause_s
        self._fixture = fixture
        self._numbers = itertools.count(1)
        fixture.daemon.ctx.crashes._accepts_connections = (
            lambda server: server.name not in self.crashed
        )
        for name in DECODE:
            server = fixture.servers[name]
            server.replies.extend([self._reply(server)] * 200)

    def _reply(self, server):
        def reply(req):
            special = self.replies.get(req.headers["x-attempt-id"])
            if special is not None:
                return special(server, req)
            if CRASHING not in req.headers["x-prompt-prefix"]:
                return server.stream_reply(req)
            if self._first_event_s is not None:
                events, pauses = self._events(server), (self._first_event_s,)
                return server.stamped_reply(req, chunks=events, pauses=pauses, cut=True)
            self._crash(server)
            return None

        return reply

    def _events(self, server):
        yield b"id: 1\ndata: piece 1\n\n"
        # The relay reads the event before the pause.
        gevent.sleep(0.05)
        time.sleep(self._pause_s)
        self._crash(server)

    def _crash(self, server):
        old_name = server.name
        server.name = f"{old_name}-{next(self._numbers)}"
        self.crashed.append(old_name)
        store = self._fixture.store
        address = self._fixture.addresses[old_name[: len(DECODE[0])]]
        self._fixture.write_entry(server.name, "lm", "decode", address=address)
        store.remove("servers", old_name)


def prompt(parts, attempt, path="/resume/x"):
    """Returns the bytes of a request for a stream with some parts in its prompt."""
    header = ",".join(f"{part}:50" for part in (*parts, f"f{attempt}"))
    tokens = (("X-Token-Count", "100,40"), ("X-Prompt-Prefix", header))
    body = f"prompt {attempt}".encode()
    return request(path, "POST", body, tokens, attempt=f"a{attempt}")


def send(fixture, parts, attempt, path="/resume/x"):
    return call_raw(fixture.address, prompt(parts, attempt, path))


def test_part_that_crashes_servers_is_refused_whatever_else_a_request_holds(case):
    """Guards against requests that crash one server after the other although no two of
    them are alike."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = CrashingServers(fixture)
    for number in range(8):
        send(fixture, ("aa", CRASHING), number, ("/resume/x", "/sum/x")[number % 2])
        # Longer than the probe of a crash and the read of the new entry.
        gevent.sleep(0.3)
    case.assertLessEqual(len(servers.crashed), MAX_CRASHES)
    with mock.patch.object(crashes, "log_event") as log_event:
        answer = send(fixture, ("aa", CRASHING), 100)
    (logged,) = log_event.call_args_list
    case.assertEqual(logged.args, ("request_quarantined",))
    case.assertEqual(len(logged.kwargs["parts"]), 2)
    case.assertEqual(answer.status, 503)
    case.assertIn(b"quarantined", answer.body)
    case.assertIn(b"not_run", answer.body)
    case.assertIn("retry-after", answer.headers)


def test_part_that_crashes_servers_late_after_the_head_is_refused(case):
    """Guards against a part that is not suspected, as its servers take over a second
    from the head of the answer to the first event."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = CrashingServers(fixture, first_event_s=1.2)
    for number in range(5):
        send(fixture, ("aa", CRASHING), number, "/sum/x")
        gevent.sleep(0.3)
    case.assertEqual(len(servers.crashed), 3)


def test_part_that_crashes_servers_during_a_pause_of_the_process_is_refused(case):
    """Guards against a crash that is not blamed on the part, as this process reads the
    end of the connection late."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = CrashingServers(fixture, first_event_s=0.0, pause_s=1.1)
    for number in range(5):
        send(fixture, ("aa", CRASHING), number, "/sum/x")
        gevent.sleep(0.3)
    case.assertEqual(len(servers.crashed), 3)


def test_request_that_tries_a_blocked_part_is_not_repeated(case):
    """Guards against two crashes each time that a part is tried again."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = CrashingServers(fixture)
    for number in range(3):
        send(fixture, ("aa", CRASHING), number, "/sum/x")
        gevent.sleep(0.3)
    parts = fixture.daemon.ctx.crashes.parts
    for suspicion in parts._suspicions.values():
        suspicion.blocked_until = fixture.daemon.clock.monotonic()
    for number in range(2):
        send(fixture, ("aa", CRASHING), 10 + number)
        gevent.sleep(0.3)
    case.assertEqual(len(servers.crashed), 4)


def test_part_that_is_blocked_during_the_prefill_reaches_no_decode_server(case):
    """Guards against crashes by the requests whose prompts are being computed as the
    part is blocked."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = CrashingServers(fixture)
    prefill = fixture.servers["pre-1"]

    def block(req):
        crashes = fixture.daemon.ctx.crashes
        patch = mock.patch.object(crashes, "is_quarantined", lambda call: True)
        case.enterContext(patch)
        return prefill.prefill_reply()

    prefill.replies.append(block)
    answer = send(fixture, ("aa", CRASHING), 1)
    case.assertEqual(servers.crashed, [])
    case.assertEqual(answer.status, 503)
    case.assertIn(b"not_run", answer.body)
    wait_until(lambda: any("/kv-handle/" in call for call in prefill.control_calls))


def test_answers_that_show_nothing_do_not_clear_a_part(case):
    """Guards against new crashes after a continuation that had nothing left to write,
    or after an answer without framing that a crash has ended."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = CrashingServers(fixture)
    servers.replies["a1"] = lambda server, req: server.stream_reply(req, last=0)
    servers.replies["a3"] = lambda server, req: server.stream_reply(
        req, last=1, unframed=True
    )
    for number in range(7):
        send(fixture, ("aa", CRASHING), number, "/sum/x")
        gevent.sleep(0.3)
    case.assertEqual(len(servers.crashed), 3)


def test_sound_requests_are_served_beside_a_part_that_crashes_servers(case):
    """Guards against refusing requests that share only sound parts with those that
    crash servers."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    CrashingServers(fixture)
    for number in range(6):
        send(fixture, ("aa", CRASHING), number)
        gevent.sleep(0.3)
    wait_until(lambda: len(fixture.daemon.backends.usable("lm", None)) >= len(DECODE))
    for number, parts in enumerate((("aa",), ("aa", "bb"), ("cc",), ())):
        case.assertEqual(send(fixture, parts, 50 + number).status, 200, parts)
    # A sound request has shown that the first part is sound.
    case.assertEqual(send(fixture, ("cc", CRASHING), 60).status, 503)


def test_stream_that_goes_on_clears_its_parts_before_its_end(case):
    """Guards against refusing a popular part, or missing the one that crashes servers
    beside it, until a long stream is complete."""
    fixture = case.enterContext(entry_fixture(decode=DECODE))
    servers = CrashingServers(fixture)
    servers.replies["a9"] = lambda server, req: server.stream_reply(
        req, last=20, pause_s=0.13
    )
    stream = gevent.spawn(send, fixture, ("aa",), 9)
    for number in range(3):
        send(fixture, ("aa", CRASHING), number, "/sum/x")
        gevent.sleep(0.3)
    wait_until(lambda: fixture.daemon.ctx.crashes.parts.sound_report())
    case.assertEqual(send(fixture, ("cc", CRASHING), 10, "/sum/x").status, 503)
    case.assertFalse(stream.ready())
    case.assertEqual(stream.get().status, 200)
    case.assertEqual(len(servers.crashed), 3)


load_tests = collect(globals())
