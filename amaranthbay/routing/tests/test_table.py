"""Tests of the lookup of routes and of the split by weight."""

from amaranthbay.routing import CallKind, Route, RoutingTable, WeightedService
from amaranthbay.routing.table import choose_service
from amaranthbay.utils.testing import collect


def route(name, prefix, host="shop.example", shares=(("a", 1.0),)):
    services = tuple(WeightedService(*share) for share in shares)
    return Route(name, host, prefix, CallKind.IDEMPOTENT, services, 1.0, 0.1)


def test_longest_prefix_of_the_host_wins(case):
    """Guards against a match that depends on the order of the routes, or with a route
    of another host."""
    routes = (
        route("all", "/"),
        route("a", "/a/"),
        route("ab", "/a/b/"),
        route("other", "/a/b/c/", host="other.example"),
    )
    table = RoutingTable(1, routes, {})
    route_names = {
        path: table.find("Shop.Example:8080", path).name
        for path in ("/", "/a", "/a/", "/a/x", "/a/b/", "/a/b/c/d", "/ab/")
    }
    case.assertEqual(
        route_names,
        {
            "/": "all",
            "/a": "all",
            "/a/": "a",
            "/a/x": "a",
            "/a/b/": "ab",
            "/a/b/c/d": "ab",
            "/ab/": "all",
        },
    )
    case.assertIsNone(table.find("none.example", "/a/"))
    case.assertIsNone(RoutingTable(1, routes[1:], {}).find("shop.example", "/b/"))


def test_split_follows_the_weights(case):
    """Guards against a service that gets a share other than the configured one."""
    split = route("s", "/", shares=(("a", 90), ("b", 10), ("c", 0)))
    draws = [choose_service(split, n / 1000) for n in range(1000)]
    counts = {name: draws.count(name) for name in "abc"}
    case.assertEqual(counts, {"a": 900, "b": 100, "c": 0})


load_tests = collect(globals())
