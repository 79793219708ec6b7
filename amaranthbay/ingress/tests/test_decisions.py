"""Which callers lose when memory or places run short, without a network."""

from amaranthbay.ingress import capacity
from amaranthbay.ingress.heads import MAX_PAUSE_S, PAUSE_FACTOR, ParseTurns
from amaranthbay.ingress.places import PlaceAccount, PlaceHolder
from amaranthbay.ingress.progress import Progress
from amaranthbay.ingress.shortage import Holder, choose_for_memory
from amaranthbay.utils.testing import ManualClock, collect


def test_sender_that_stops_short_waits_longer_than_one_that_goes_on(case):
    """Guards against taking a sender that stopped three bytes short for one that is
    nearly done, and a steady slow one for one that has stopped."""
    stopped, steady = Progress(0.0, 500_000), Progress(0.0, 500_000)
    stopped.note(0.5, 499_997)
    for tenth in range(1, 101):
        steady.note(tenth / 10, 4500)
    case.assertGreater(stopped.wait_s(10.0), 9.0)
    case.assertLess(steady.wait_s(10.0), 2.0)


def test_dripping_sender_waits_long(case):
    """Guards against crediting a sender of single bytes with its quick beginning."""
    dripping = Progress(0.0, 500_000)
    dripping.note(0.5, 499_900)
    for second in range(1, 15):
        dripping.note(float(second), 1)
    case.assertGreater(dripping.wait_s(14.0), 30.0)


def test_idle_caller_loses_before_a_quick_one_and_a_forwarded_request(case):
    """Guards against dropping what would soon be complete, and against aborting a
    forwarded request, while a cheaper one holds memory."""
    holders = [
        Holder("answer of a server", 900_000),
        Holder("quick", 800_000, 0.2),
        Holder("idle", 1000, 9.0),
        Holder("idle and large", 100_000, 9.0),
        Holder("slow reader", 100_000, 9.0, is_response=True),
    ]

    def names(*args):
        return [holder.owner for holder in choose_for_memory(holders, *args)]

    case.assertEqual(names(1), ["idle and large"])
    case.assertEqual(names(1, 150_000), ["idle and large", "slow reader"])
    slow = ["idle and large", "slow reader", "idle"]
    case.assertEqual(names(300_000), [*slow, "answer of a server"])
    case.assertEqual(names(10**7), [*slow, "answer of a server", "quick"])


def test_fresh_upload_is_better_than_a_stuck_sender_and_an_idle_connection(case):
    """Guards against dropping first, in a shortage of places, what has just begun, and
    against a lasting credit for a sender that sends nothing."""
    fresh, stuck, idle = (
        Progress(10.0, 4_000_000),
        Progress(0.0, 500_000),
        Progress(5.0),
    )
    stuck.note(0.5, 499_997)

    def waits(now):
        return [each.wait_for_place_s(now) for each in (fresh, idle, stuck)]

    case.assertEqual(waits(10.0), sorted(waits(10.0)))
    fresh.note(10.2, 1460)
    case.assertEqual(waits(10.3), sorted(waits(10.3)))
    case.assertGreater(fresh.wait_for_place_s(14.0), stuck.wait_for_place_s(14.0))
    # The order of memory is that of measured rates.
    case.assertGreater(Progress(10.0, 4_000_000).wait_s(10.0), stuck.wait_s(10.0))


class FakeConnection(PlaceHolder):
    """Connection with a fixed wait."""

    def __init__(self, address, wait_s):
        self.address = address
        self.dropped = False
        self.input = False
        self.looks = self.asked = 0
        self._wait_s = wait_s

    def wait_s(self, now):
        self.asked += 1
        return self._wait_s

    def has_input(self):
        self.looks += 1
        return self.input

    def drop(self):
        self.dropped = True


def enter(account, address, wait_s):
    """Returns a connection, and whether it has got a place."""
    conn = FakeConnection(address, wait_s)
    return conn, account.enter(conn)


def test_new_connection_takes_the_place_of_the_slowest(case):
    """Guards against callers who wait behind idle connections, and against closing
    connections that are in use."""
    account = PlaceAccount(8, ManualClock())
    busy = [enter(account, f"b{number}", None)[0] for number in range(6)]
    slow, slower = (enter(account, "c", wait_s)[0] for wait_s in (2.0, 3.0))
    case.assertTrue(enter(account, "d", None)[1])
    case.assertEqual((slow.dropped, slower.dropped), (False, True))
    case.assertTrue(enter(account, "e", None)[1])
    case.assertFalse(enter(account, "f", None)[1])
    case.assertEqual((len(account), any(conn.dropped for conn in busy)), (8, False))


def test_one_address_leaves_places_to_others(case):
    """Guards against one address whose busy connections hold all places, and against
    one that displaces the callers of others."""
    account = PlaceAccount(16, ManualClock())
    quiet, _ = enter(account, "other", 4.0)
    crowd = [enter(account, "crowd", 1.0) for _ in range(40)]
    case.assertFalse(quiet.dropped)
    case.assertTrue(all(entered for _, entered in crowd))
    account = PlaceAccount(16, ManualClock())
    enter(account, "other", None)
    crowd = [enter(account, "crowd", None)[1] for _ in range(40)]
    case.assertEqual(sum(crowd), 15)
    case.assertLessEqual(len(account), 16)


def test_left_places_are_free(case):
    """Guards against places that stay taken after their connection has closed."""
    account = PlaceAccount(1, ManualClock())
    for _ in range(3):
        conn, entered = enter(account, "a", None)
        case.assertTrue(entered)
        account.leave(conn)
    case.assertEqual(len(account), 0)


def test_capacity_fits_the_smallest_and_the_largest_machine(case):
    """Guards against accounts that leave the program no memory, or callers none."""
    for memory_mb in (48, 128, 552):
        share = capacity.memory_for_callers(memory_mb, 50 * 2**20) / 2**20
        case.assertGreaterEqual(share, memory_mb / 8)
        case.assertLess(50 + share, max(64, memory_mb))
    case.assertEqual(capacity.split_places(100, 2**30).callers, 64)
    case.assertEqual(capacity.split_places(10**6, 2**30).callers, 2000)
    small_bytes = capacity.memory_for_callers(128, 50 * 2**20)
    callers = capacity.split_places(10**6, small_bytes).callers
    case.assertLessEqual(callers * capacity.CONNECTION_BYTES, small_bytes / 2)


def test_long_heads_leave_time_to_others(case):
    """Guards against legal heads of many lines that keep ordinary requests waiting."""
    clock = ManualClock()
    turns, started_at = ParseTurns(clock), []
    for parse_s in (0.006, 1.5, 0.0):
        turns.parse(
            lambda parse_s=parse_s: started_at.append(clock.monotonic())
            or clock.advance(parse_s)
        )
    second = 0.006 * (1.0 + PAUSE_FACTOR)
    case.assertAlmostEqual(started_at[1], second)
    # A freeze of the process isn't a long parse.
    case.assertAlmostEqual(started_at[2], second + 1.5 + MAX_PAUSE_S)
    case.assertLess(MAX_PAUSE_S, 0.1)


def test_lookups_get_a_part_of_the_descriptors_that_are_left(case):
    """Guards against quiet lookup connections that are closed although descriptors are
    left, and against more connections than descriptors."""
    case.assertGreaterEqual(capacity.split_places(8192, 30 * 2**20).services, 100)
    for descriptors in (1024, 2048, 2700, 4096, 16384, 65536):
        for memory_bytes in (2**20, 30 * 2**20, 2**30):
            places = capacity.split_places(descriptors, memory_bytes)
            case.assertLess(places.callers + 2 * places.services, descriptors - 100)
            case.assertLessEqual(places.services, 2000)


def test_connection_with_input_keeps_its_place(case):
    """Guards against dropping a connection whose request has arrived, and against
    looking at the sockets of all connections for one choice."""
    account = PlaceAccount(64, ManualClock())
    first, *others = [enter(account, f"a{number}", 3.0)[0] for number in range(64)]
    first.input = True
    case.assertTrue(enter(account, "b", None)[1])
    case.assertEqual(
        [conn.dropped for conn in [first, *others[:4]]], [False] + [True] * 4
    )
    case.assertEqual(sum(conn.looks for conn in [first, *others]), 5)


def test_address_replaces_its_own_connections_one_at_a_time(case):
    """Guards against many connections of one address that are closed while places are
    left, and against a choice for each new one while all are busy."""
    account = PlaceAccount(32, ManualClock())
    enter(account, "other", None)
    crowd = [enter(account, "crowd", 3.0)[0] for _ in range(31)]
    case.assertEqual(sum(conn.dropped for conn in crowd), 1)
    account = PlaceAccount(32, ManualClock())
    enter(account, "other", None)
    crowd = [enter(account, "crowd", None)[0] for _ in range(31)]
    asked = sum(conn.asked for conn in crowd)
    case.assertFalse(enter(account, "crowd", None)[1])
    case.assertEqual(sum(conn.asked for conn in crowd), asked)
    case.assertTrue(enter(account, "third", None)[1])


load_tests = collect(globals())
