"""Callers that nobody controls, and the processor time that they take.

Their bytes are legal and keep the process busy, so that others wait although no process
ends. The tests check that ordinary callers get answers meanwhile. See `crowd`.
"""

from amaranthbay.platform.tests.crowd import (
    LOOKUP_PATH,
    Crowd,
    check_ordinary_call,
    check_ordinary_lookup,
    check_ready,
    crowded_process,
)
from amaranthbay.platform.tests.fixtures import HOST, request
from amaranthbay.utils.testing import collect

CHATTY_LOOKUPS = 16
COSTLY_LOOKUPS = 48
# More than there are places for lookups.
MANY_LOOKUPS = 100
CHUNK_SENDERS = 200
UNROUTED_CALLERS = 200
# More than there are places for callers.
MANY_CALLERS = 900
# Descriptors of the machines of most deployments.
MANY_FDS = 4100
# Fit into the head of a lookup.
LOOKUP_HEADERS = 90
FOLDED_LINES = 3500
TINY_CHUNKS = 8000


def check_everything(crowd):
    """Checks that ordinary requests at each address are answered."""
    check_ordinary_call(crowd)
    check_ordinary_lookup(crowd)
    check_ready(crowd)


def check_served_beside_lookups(case, count, block):
    """Checks a process whose addresses for lookups and readiness get endless bytes."""
    with crowded_process(case) as crowd:
        entry, run = crowd.entry, Crowd.exchange_endlessly
        for address in (entry.lookup_address, entry.ready_address):
            crowd.add(count, run, block, address=address, window_bytes=None)
        check_everything(crowd)


def test_pipelined_lookups_without_end(case):
    """Guards against a connection for lookups that never gives others their turn."""
    check_served_beside_lookups(case, CHATTY_LOOKUPS, request(LOOKUP_PATH) * 1000)


def test_pipelined_lookups_on_more_connections_than_places(case):
    """Guards against places for lookups that nobody loses whose next request is always
    there."""
    check_served_beside_lookups(case, MANY_LOOKUPS, request(LOOKUP_PATH) * 1000)


def test_lookups_with_many_headers(case):
    """Guards against heads for lookups that take long to parse."""
    headers = [("a", "")] * LOOKUP_HEADERS
    block = request(LOOKUP_PATH, headers=headers) * 100
    check_served_beside_lookups(case, COSTLY_LOOKUPS, block)


def test_lookups_with_folded_headers(case):
    """Guards against headers of thousands of lines that are joined one by one."""
    headers = [("a", "\r\n b" * FOLDED_LINES)]
    block = request(LOOKUP_PATH, headers=headers) * 20
    check_served_beside_lookups(case, COSTLY_LOOKUPS, block)


def test_bodies_of_tiny_chunks(case):
    """Guards against bodies in chunks of one byte, which take a thousand times the
    processor time of other bodies."""
    head = f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: c\r\n"
    head += "Transfer-Encoding: chunked\r\n\r\n"
    block = head.encode() + b"1\r\nx\r\n" * TINY_CHUNKS + b"0\r\n\r\n"
    with crowded_process(case) as crowd:
        run = Crowd.exchange_endlessly
        crowd.add(CHUNK_SENDERS, run, block, window_bytes=None)
        check_everything(crowd)


def check_served_beside_refused(case, count, **options):
    """Checks a process that gets endless requests which it refuses at once."""
    with crowded_process(case, **options) as crowd:
        block = request("/none/x") * 1000
        crowd.add(count, Crowd.exchange_endlessly, block, window_bytes=None)
        check_everything(crowd)


def test_pipelined_requests_without_a_route(case):
    """Guards against requests that are refused without a wait, one after another."""
    check_served_beside_refused(case, UNROUTED_CALLERS)


def test_pipelined_requests_on_more_connections_than_places(case):
    """Guards against places that nobody loses whose next request is always there."""
    check_served_beside_refused(case, MANY_CALLERS)


def test_pipelined_requests_on_many_descriptors(case):
    """Guards against requests that lie unread on as many connections as a process with
    many descriptors accepts."""
    check_served_beside_refused(case, MANY_CALLERS, max_fds=MANY_FDS)


load_tests = collect(globals())
