"""Tests of the load tool's arrivals and prompts."""

from amaranthbay.loadtool.arrivals import (
    estimate_capacity,
    generate_arrivals,
    prompt_text,
)
from amaranthbay.loadtool.profiles import load_profile, profile_names
from amaranthbay.utils.testing import collect
from amaranthbay.utils.tokens import block_hashes, estimate_tokens

DURATION_S = 200.0


def test_equal_seeds_give_equal_arrivals(case):
    """Guards against a comparison of policies under different loads."""
    for name in profile_names():
        profile = load_profile(name)
        arrivals = generate_arrivals(profile, 7, DURATION_S, 10.0)
        case.assertEqual(arrivals, generate_arrivals(profile, 7, DURATION_S, 10.0))
        case.assertNotEqual(arrivals, generate_arrivals(profile, 8, DURATION_S, 10.0))


def test_mean_rate_includes_the_bursts(case):
    """Guards against a load that is above or below the stated rate."""
    profile = load_profile("chile-central")
    arrivals = generate_arrivals(profile, 3, 2000.0, 10.0)
    case.assertAlmostEqual(len(arrivals) / 2000.0, 10.0, delta=0.5)


def test_patient_factor_leaves_the_interactive_rate(case):
    """Guards against more patient load that also changes the interactive load.

    The effect of patient requests on interactive ones is measured under the same
    interactive load.
    """
    profile = load_profile("chile-central")
    plain = generate_arrivals(profile, 3, 2000.0, 10.0)
    doubled = generate_arrivals(profile, 3, 2000.0, 10.0, patient_factor=2.0)

    def count(arrivals, interactive):
        return sum(arrival.interactive is interactive for arrival in arrivals)

    case.assertAlmostEqual(count(doubled, True) / count(plain, True), 1.0, delta=0.05)
    case.assertAlmostEqual(count(doubled, False) / count(plain, False), 2.0, delta=0.2)


def test_preamble_is_shared_and_the_rest_is_not(case):
    """Guards against prompts that share no prefix, or that are all the same."""
    profile = load_profile("chile-central")
    patient = [
        arrival
        for arrival in generate_arrivals(profile, 1, DURATION_S, 10.0)
        if not arrival.interactive
    ]
    same_preamble = [
        arrival for arrival in patient if arrival.preamble == patient[0].preamble
    ][:2]
    texts = [prompt_text(arrival, 1) for arrival in same_preamble]
    case.assertEqual(estimate_tokens(texts[0]), same_preamble[0].prompt_tokens)
    hashes = [block_hashes("m", text) for text in texts]
    case.assertEqual(hashes[0][:2], hashes[1][:2])
    case.assertNotIn(hashes[0][-1], hashes[1])


def test_capacity_is_that_of_the_tighter_pool(case):
    """Guards against a load factor that is relative to the wrong pool."""
    profile = load_profile("svealand")
    prefill_bound = estimate_capacity(profile, 0.0002, 0.02)
    case.assertAlmostEqual(
        prefill_bound.requests_s, profile.prefill / prefill_bound.prefill_s
    )
    decode_bound = estimate_capacity(profile, 0.0002, 0.2)
    slots = profile.decode * profile.slots
    case.assertAlmostEqual(decode_bound.requests_s, slots / decode_bound.decode_s)


load_tests = collect(globals())
