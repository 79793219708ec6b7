"""The time of the store that instances share."""

from amaranthbay.fleet.eras import StoreEra
from amaranthbay.fleet.store_time import WINDOW_S, StoreTime
from amaranthbay.utils.testing import ManualClock, collect


def make_store_time():
    clock = ManualClock()
    era = StoreEra(clock)
    return StoreTime(clock, era), clock, era


def test_time_follows_the_fastest_answer(case):
    """Guards against a time that is behind by the delay of a slow answer."""
    store_time, clock, _ = make_store_time()
    case.assertIsNone(store_time.now())
    store_time.note(100.0 - 0.4)
    case.assertEqual(store_time.now(), 99.6)
    clock.advance(1.0)
    store_time.note(101.0 - 0.005)
    clock.advance(1.0)
    store_time.note(102.0 - 0.9)
    case.assertAlmostEqual(store_time.now(), 102.0 - 0.005)


def test_time_goes_on_while_the_store_is_away(case):
    """Guards against losing the shared time with the last answer."""
    store_time, clock, _ = make_store_time()
    store_time.note(50.0)
    clock.advance(10 * WINDOW_S)
    case.assertEqual(store_time.now(), 50.0 + 10 * WINDOW_S)


def test_local_clock_that_stood_still_is_put_right(case):
    """Guards against the time of an instance that was suspended."""
    store_time, clock, _ = make_store_time()
    store_time.note(50.0)
    clock.advance(1.0)
    store_time.note(56.0)
    case.assertEqual(store_time.now(), 56.0)


def test_restored_store_starts_its_time_anew(case):
    """Guards against the time of the store from before its restore."""
    store_time, clock, era = make_store_time()
    era.observe(1)
    store_time.note(500.0)
    era.observe(2)
    case.assertEqual(store_time.now(), 500.0)
    store_time.note(20.0)
    case.assertEqual(store_time.now(), 20.0)


def test_old_answers_no_longer_count(case):
    """Guards against a local clock that runs fast."""
    store_time, clock, _ = make_store_time()
    store_time.note(50.0)
    clock.advance(WINDOW_S + 1.0)
    store_time.note(50.0 + WINDOW_S)
    case.assertEqual(store_time.now(), 50.0 + WINDOW_S)


load_tests = collect(globals())
