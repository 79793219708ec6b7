"""Tests of load estimates and measured engine speeds."""

from amaranthbay.placement.loads import LoadEstimate, LoadReport
from amaranthbay.placement.speeds import EngineSpeeds
from amaranthbay.utils.testing import collect

TOKEN_S = 0.0002


def test_own_placements_count_until_the_report_covers_them(case):
    """Guards against overloading a server whose delayed report shows it idle."""
    load = LoadEstimate()
    load.receive(LoadReport(3, 0, 0, 20), 10.0)
    case.assertEqual(load.active(), 3)
    load.change(10.1, requests=1, tokens=500)
    case.assertEqual(load.active(), 4)
    load.receive(LoadReport(4, 0, 500, 20), 12.0)
    case.assertEqual(load.active(), 4)
    case.assertEqual(load.queued_tokens(12.0, TOKEN_S), 500)
    load.change(12.1, requests=-1, tokens=-500)
    case.assertEqual(load.active(), 3)
    case.assertEqual(load.queued_tokens(12.1, TOKEN_S), 0)


def test_reported_queue_shrinks_with_the_age_of_the_report(case):
    """Guards against avoiding a server for work that it has finished since."""
    load = LoadEstimate()
    load.receive(LoadReport(0, 0, 10_000, 20), 0.0)
    first = load.queued_tokens(0.0, TOKEN_S)
    case.assertLess(load.queued_tokens(0.5, TOKEN_S), first)
    case.assertEqual(load.queued_tokens(60.0, TOKEN_S), 0)


def test_slow_server_is_detected_and_its_slowdown_decays(case):
    """Guards against a slow server that isn't detected, or is avoided for ever."""
    speeds = EngineSpeeds()
    for number in range(10):
        speeds.observe_prefill("p-1", 0.2, 1000, 100, 2.0, float(number))
        speeds.observe_prefill("p-2", 0.2, 1000, 100, 0.2, float(number))
    case.assertGreater(speeds.slowdown("p-1", 10.0), 5.0)
    case.assertLess(speeds.slowdown("p-2", 10.0), 1.1)
    case.assertLess(speeds.slowdown("p-1", 200.0), 1.1)


def test_prefill_time_is_learnt_from_idle_servers(case):
    """Guards against a prefill time that includes queueing."""
    speeds = EngineSpeeds()
    for number in range(20):
        speeds.observe_prefill("p-1", 0.2, 1000, 0, 0.41, float(number))
    for number in range(40):
        speeds.observe_prefill("p-1", 0.2, 1000, 5000, 9.0, float(number))
    case.assertAlmostEqual(speeds.times().prefill_token_s, 0.0004)


def test_link_that_varies_is_followed(case):
    """Guards against an estimate that doesn't follow the rate of a link."""
    speeds = EngineSpeeds()
    for _ in range(20):
        speeds.observe_transfer("p-1", 1.0e8, 1.0)
    case.assertLess(speeds.link_bytes_s("p-1"), 2.0e8)
    for _ in range(20):
        speeds.observe_transfer("p-1", 1.0e9, 0.5)
    case.assertGreater(speeds.link_bytes_s("p-1"), 1.0e9)


def test_only_the_running_prefill_blocks_interactive_work(case):
    """Guards against counting patient prefills that the engine starts later."""
    load = LoadEstimate()
    load.receive(LoadReport(0, 3, 16_000, 20, prefilling=4), 0.0)
    case.assertEqual(load.blocking_tokens(16_000), 4000 + 3 * 400)
    case.assertEqual(load.blocking_tokens(0), 0)
    load.receive(LoadReport(0, 0, 9000, 20, prefilling=1), 0.0)
    case.assertEqual(load.blocking_tokens(9000), 9000)


def test_silent_server_gets_no_work_and_ramps_up_on_return(case):
    """Guards against work for an unreachable server, or too much on its return."""
    load = LoadEstimate()
    report = LoadReport(0, 0, 0, 20)
    load.receive(report, 0.0)
    load.receive(report, 1.0)
    case.assertEqual(load.ramp(1.0), 1.0)
    case.assertEqual(load.ramp(20.0), 0.0)
    load.receive(report, 21.0)
    case.assertLess(load.ramp(21.0), 0.2)
    for second in range(22, 32):
        load.receive(report, float(second))
    case.assertEqual(load.ramp(31.0), 1.0)


load_tests = collect(globals())
