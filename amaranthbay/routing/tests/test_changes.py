"""Tests of the description of the differences of two configurations."""

from dataclasses import fields, replace

from amaranthbay.routing import (
    CallKind,
    ClientLimits,
    Engine,
    Route,
    RoutingTable,
    Service,
    WeightedService,
)
from amaranthbay.routing.changes import LABELS, describe_changes
from amaranthbay.utils.testing import collect
from amaranthbay.workspaces import KeyTable, Workspace

ROUTE = Route(
    "a", "h", "/a/", CallKind.IDEMPOTENT, (WeightedService("desk", 1.0),), 3.0, 0.2
)
LM = Service("lm", 50, Engine(8, 10_000))
WORKSPACE = Workspace("w", rate_per_s=5.0)
OLD = RoutingTable(
    1,
    (ROUTE, replace(ROUTE, name="b")),
    {"desk": Service("desk", 50), "lm": LM},
    workspaces=KeyTable([(WORKSPACE, ["k1", "k2"]), (Workspace("v"), ["k3"])]),
)


def test_each_difference_has_a_sentence(case):
    """Guards against differences that the description omits."""
    shares = (WeightedService("desk", 9.0), WeightedService("lm", 1.0))
    changed = replace(ROUTE, services=shares, timeout_s=2.0, public=True)
    new = RoutingTable(
        2,
        (changed, replace(ROUTE, name="c")),
        {"desk": LM, "lm": replace(LM, engine=replace(LM.engine, slots=4))},
        ClientLimits(body_bytes=9),
        KeyTable([(replace(WORKSPACE, rate_per_s=6.0), ["k1", "k4", "k5"])]),
    )
    case.assertEqual(
        describe_changes(OLD, new),
        [
            "Route a: the timeout in seconds changes from 3.0 to 2.0.",
            "Route a: whether callers need no key changes from no to yes.",
            "Route a: the division of its requests changes from desk to desk 9, lm 1.",
            "The route b is gone.",
            "The route c is new.",
            "Service desk: it becomes a service of model servers.",
            "Service lm: the number of requests that one server runs at once changes"
            " from 8 to 4.",
            "Requests of callers: the largest size of a body in bytes changes from"
            " 4194304 to 9.",
            "The workspace v is gone.",
            "Workspace w: the rate of the quota in units per second changes from 5.0"
            " to 6.0.",
            "Workspace w: 2 keys are added.",
            "Workspace w: 1 key is removed.",
        ],
    )


def test_use_of_keys_is_described(case):
    """Guards against a change by which all callers suddenly need keys, or none."""
    open_table = replace(OLD, workspaces=None)
    case.assertEqual(describe_changes(OLD, OLD), [])
    case.assertEqual(
        describe_changes(open_table, OLD),
        [
            "Callers need keys from now on.",
            "The workspace v is new.",
            "The workspace w is new.",
        ],
    )
    case.assertIn("Callers need no keys any more.", describe_changes(OLD, open_table))


def test_order_of_routes_with_one_prefix_is_described(case):
    """Guards against a change of the order, by which another route takes requests,
    that is reported as no difference."""
    swapped = replace(OLD, routes=OLD.routes[::-1])
    sentence = "The route b takes precedence over the route a."
    case.assertEqual(describe_changes(OLD, swapped), [sentence])
    apart = (ROUTE, replace(ROUTE, name="b", prefix="/b/"))
    old = replace(OLD, routes=apart)
    case.assertEqual(describe_changes(old, replace(OLD, routes=apart[::-1])), [])


def test_every_field_has_a_label(case):
    """Guards against a new field whose change can't be described."""
    classes = (Route, Service, Engine, ClientLimits, Workspace)
    names = {field.name for each in classes for field in fields(each)}
    case.assertEqual(names - LABELS.keys(), {"name", "engine"})


load_tests = collect(globals())
