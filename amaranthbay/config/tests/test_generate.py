"""Tests of the generated configuration: golden files, round trip, differences."""

from dataclasses import replace
from pathlib import Path

from hypothesis import given, settings, strategies as st

from amaranthbay.config import (
    diff,
    generate,
    load_answers,
    load_configuration,
    render_configuration,
)
from amaranthbay.config.answers import (
    Answers,
    CallerAnswer,
    PoolAnswer,
    ServiceAnswer,
)
from amaranthbay.config.rules import answer_faults, configuration_faults
from amaranthbay.utils.testing import collect
from amaranthbay.utils.toml_text import to_toml

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
GOLDEN = Path(__file__).parent / "golden"
DEPLOYMENTS = ("medidas-unidas", "ekholm-dahlgren")

NAMES = st.text('abcdefghij-é"#[]', min_size=1, max_size=8)
INSTANCES_BY_ZONE = st.dictionaries(
    st.text("abc-. ", min_size=1, max_size=5), st.integers(1, 9)
)


@st.composite
def valid_answers(draw):
    """Draws answers without contradictions."""
    names = draw(st.lists(NAMES, min_size=4, max_size=6, unique=True))
    instances = draw(INSTANCES_BY_ZONE.filter(bool))
    roles = ("prefill", "decode", "plain")
    pools = tuple(
        PoolAnswer(name, role, instances, draw(st.booleans()), draw(st.booleans()))
        for name, role in zip(names, roles, strict=False)
    )
    callers = (
        CallerAnswer(names[0], "with_target", draw(st.integers(1, 9000)), 51),
        CallerAnswer(names[1], "as_long_as_it_takes"),
    )
    caller_names = (names[0], names[1])
    services = (
        ServiceAnswer(names[0], "model", caller_names, (names[0], names[1])),
        ServiceAnswer(names[1], "plain", caller_names, (names[2],), ("POST /a",)),
    )
    weigh_more = draw(st.sampled_from(["goodput", "wasted_prefill", "both_alike"]))
    return Answers(names[3], weigh_more, instances, callers, services, pools)


def answers_of(name):
    """Returns the answers of an example deployment."""
    checked = load_answers(EXAMPLES / f"{name}.toml")
    assert checked.faults == (), checked.faults
    return checked.value


def test_examples_generate_the_golden_files(case):
    """Guards against unnoticed changes of the generated configuration."""
    for name in DEPLOYMENTS:
        with case.subTest(name):
            generated = generate(answers_of(name))
            head = [f"Generated from {name}.toml by amaranthbay config generate."]
            text = render_configuration(
                generated.configuration, generated.reasons, head
            )
            case.assertEqual(text, (GOLDEN / f"{name}.toml").read_text())


def test_examples_have_the_sizes_of_the_design(case):
    """Guards against examples that deviate from the deployments in the design."""
    sizes = {}
    for name in DEPLOYMENTS:
        answers = answers_of(name)
        kind_by_pool = {
            pool: each.kind for each in answers.services for pool in each.pools
        }
        counts = {"model": 0, "plain": 0}
        for pool in answers.pools:
            counts[kind_by_pool[pool.name]] += sum(pool.instances.values())
        daemons = sum(answers.entry_instances.values())
        zones = len(answers.entry_instances)
        sizes[name] = (counts["model"], counts["plain"], daemons, zones)
    case.assertEqual(
        sizes, {"medidas-unidas": (5, 3, 9, 3), "ekholm-dahlgren": (5, 4, 8, 4)}
    )


@settings(derandomize=True, deadline=None, max_examples=60)
@given(valid_answers())
def check_round_trip(folder, answers):
    """Writes answers and their configuration, and checks that both are read back."""
    assert list(answer_faults(answers)) == []
    path = folder / "answers.toml"
    path.write_text(to_toml(answers))
    checked = load_answers(path)
    assert checked.value == answers, checked.faults
    generated = generate(answers)
    assert generated == generate(answers)
    assert list(configuration_faults(generated.configuration)) == []
    path.write_text(render_configuration(generated.configuration, generated.reasons))
    checked = load_configuration(path)
    assert checked.value == generated.configuration, checked.faults
    assert diff(checked.value, generated.configuration) == []


def test_written_files_read_back_unchanged(case):
    """Guards against names that are quoted wrongly in TOML."""
    from tempfile import TemporaryDirectory

    check_round_trip(Path(case.enterContext(TemporaryDirectory())))


def test_every_derived_value_has_a_reason(case):
    """Guards against derived values without an explanation."""
    generated = generate(answers_of("ekholm-dahlgren"))
    for key in ("goodput_weight", "lookup_ttl_s", "crash_limit"):
        case.assertIn(key, generated.reasons)
    case.assertIn("pools.dossiers-prefill.slots", generated.reasons)
    case.assertNotIn("pools.dossiers-decode.slots", generated.reasons)


def test_diff_describes_each_difference(case):
    """Guards against differences that the description omits."""
    old = generate(answers_of("medidas-unidas")).configuration
    service = replace(old.services[1], callers=("counter",))
    pool = replace(old.pools[1], slots=16, checks_fence=True)
    new = replace(
        old,
        version=7,
        workspaces=("acme",),
        services=(old.services[0], service),
        pools=(old.pools[0], pool),
    )
    case.assertEqual(
        diff(old, new),
        [
            "The workspace acme is added.",
            "Service desk-application: the kind of caller desk is removed.",
            "Pool complaints-decode: the number of requests that one server holds"
            " changes from 20 to 16.",
            "Pool complaints-decode: whether its servers refuse old fencing numbers"
            " changes from no to yes.",
            "The pool desk-application is gone.",
        ],
    )


load_tests = collect(globals())
