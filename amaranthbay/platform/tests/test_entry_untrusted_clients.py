"""Callers that nobody controls: idle senders, slow senders and slow readers.

The program runs as its own process with the memory of the smallest machine. The clients
send twice that memory, or open more connections than the process has descriptors, and
stay. The tests check that the process lives within its limits and answers an ordinary
request while the clients are still there; they check neither times nor shares.
"""

from amaranthbay.platform.tests.crowd import (
    HELD_BYTES,
    IDLE_CLIENTS,
    LARGE_BYTES,
    LOWERED_FDS,
    MEDIUM_BYTES,
    PIECE_BYTES,
    READERS,
    SMALL_BYTES,
    SMALL_CLIENTS,
    Crowd,
    check_ordinary_call,
    check_ready,
    check_served_beside,
    crowded_process,
)
from amaranthbay.platform.tests.fixtures import call_raw, request
from amaranthbay.utils.testing import collect, wait_until


def test_whole_bodies_that_stop_short(case):
    """Guards against bodies of legal size that use up the memory together."""
    count = HELD_BYTES // MEDIUM_BYTES
    check_served_beside(case, count, Crowd.send_body, MEDIUM_BYTES, MEDIUM_BYTES * 2)


def test_largest_bodies_that_stop_short(case):
    """Guards against bodies of the largest legal size that use up the memory."""
    count = HELD_BYTES // LARGE_BYTES
    check_served_beside(case, count, Crowd.send_body, LARGE_BYTES, LARGE_BYTES * 2)


def test_bodies_in_pieces_that_stop_short(case):
    """Guards against buffers that grow with each piece of a body beyond the account of
    the memory."""
    count = HELD_BYTES // MEDIUM_BYTES
    check_served_beside(case, count, Crowd.send_body, MEDIUM_BYTES, PIECE_BYTES)


def test_small_bodies_that_stop_short(case):
    """Guards against idle senders that hold all places for connections."""
    check_served_beside(case, SMALL_CLIENTS, Crowd.send_body, SMALL_BYTES, PIECE_BYTES)


def test_costly_heads_whose_bodies_stop_short(case):
    """Guards against heads that are small on the wire and take many times their bytes
    as parsed headers."""
    check_served_beside(case, SMALL_CLIENTS, Crowd.send_costly_head)


def test_heads_byte_by_byte(case):
    """Guards against slow heads that hold all places, again as soon as they are
    closed."""
    check_served_beside(case, SMALL_CLIENTS, Crowd.send_head)


def test_more_connections_than_descriptors(case):
    """Guards against connections without a request that use up the descriptors or hold
    all places."""
    check_served_beside(case, IDLE_CLIENTS, Crowd.stay, max_fds=LOWERED_FDS)


def test_more_lookup_connections_than_descriptors(case):
    """Guards against connections for lookups and readiness that use up the descriptors
    of the process."""
    with crowded_process(case, LOWERED_FDS) as crowd:
        for address in (crowd.entry.lookup_address, crowd.entry.ready_address):
            crowd.add(IDLE_CLIENTS // 2, Crowd.stay, address=address)
        check_ordinary_call(crowd)
        check_ready(crowd)


def test_slow_readers_of_plain_responses(case):
    """Guards against long responses that use up the memory while they are read."""
    check_served_beside(case, READERS, Crowd.read_slowly, False)


def test_slow_readers_of_streams(case):
    """Guards against streams that pile up in memory while they are read."""
    check_served_beside(case, READERS, Crowd.read_slowly, True)


def add_all(crowd):
    """Starts clients of each kind, with a share of the numbers of the other tests."""
    for size, piece_bytes in ((MEDIUM_BYTES, PIECE_BYTES), (LARGE_BYTES, LARGE_BYTES)):
        crowd.add(HELD_BYTES // size // 2, Crowd.send_body, size, piece_bytes)
    crowd.add(SMALL_CLIENTS // 6, Crowd.send_body, SMALL_BYTES, PIECE_BYTES)
    crowd.add(SMALL_CLIENTS // 6, Crowd.send_head)
    crowd.add(READERS, Crowd.read_slowly, False)
    crowd.add(READERS, Crowd.read_slowly, True)


def test_all_clients_together(case):
    """Guards against a shortage that only several kinds of clients cause together."""
    with crowded_process(case) as crowd:
        add_all(crowd)
        check_ordinary_call(crowd)


def test_large_request_in_quiet_after_all_clients(case):
    """Guards against memory or places that stay taken once the clients are gone, and
    against limits that refuse the largest legal request."""
    with crowded_process(case) as crowd:
        add_all(crowd)
        crowd.settle()
        crowd.leave()
        wait_until(lambda: crowd.entry.descriptors() < 64)
        body = b"x" * LARGE_BYTES
        answer = call_raw(crowd.entry.address, request("/book/x", "POST", body))
        case.assertEqual((answer.status, answer.body), (200, b"ok"))


load_tests = collect(globals())
