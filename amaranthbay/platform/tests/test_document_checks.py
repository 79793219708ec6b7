"""Tests of the checks of an operator's configuration."""

import msgspec

from amaranthbay.platform.document_checks import check_configuration
from amaranthbay.platform.documents import decode_configuration
from amaranthbay.platform.tests.fixtures import configuration
from amaranthbay.routing.checks import FindingKind
from amaranthbay.utils.testing import collect

KEY = "k8nbk-secret"
ERROR, UNUSED, CONTRADICTION = FindingKind


def encoded(change=None, **fields):
    """Returns the bytes of a sound configuration after a change.

    Args:
        change: Function that changes the decoded configuration; None for no change.
        **fields: Fields that are set before.
    """
    document = configuration() | fields
    if change is not None:
        change(document)
    return msgspec.json.encode(document)


def found(change=None, **fields):
    """Returns kind and path of each finding; see `encoded`."""
    findings = check_configuration(encoded(change, **fields))
    return [(finding.kind, finding.path) for finding in findings]


def set_route(index=0, **fields):
    return lambda document: document["Routes"][index].update(fields)


def set_service(index=0, **fields):
    return lambda document: document["Services"][index].update(fields)


def split(*weights, service="desk"):
    shares = [{"Service": service, "Weight": weight} for weight in weights]
    return set_route(Service="", Split=shares)


def tenant(**fields):
    return {"Name": "w", "ApiKeys": [KEY]} | fields


def test_sound_configurations_have_no_finding(case):
    """Guards against a finding on what operators use on purpose."""
    case.assertEqual(found(), [])
    quota = {"Unit": "token_stream", "PlainTokens": 200, "RatePerS": 9, "Burst": 200}
    case.assertEqual(
        found(Tenants=[tenant(**quota), tenant(Name="v", ApiKeys=["a"])]), []
    )
    case.assertEqual(found(split(90, 10)), [])
    # A workspace that is prepared before it gets a key.
    public = set_route(Public=True)
    case.assertEqual(found(public, Tenants=[tenant(), {"Name": "v"}]), [])
    # Requests with a longer prefix are taken from a route for all others.
    case.assertEqual(found(set_route(PathPrefix="/")), [])
    # Requests of HTTP/1.0 may have no host, and a target may be `*` or a whole URL.
    for fields, host, target in (
        ({"Host": ""}, "", "/look/x"),
        ({"PathPrefix": "*"}, "shop.example", "*"),
        (
            {"PathPrefix": "http://shop.example/"},
            "shop.example",
            "http://shop.example/",
        ),
    ):
        with case.subTest(target):
            table = decode_configuration(encoded(set_route(**fields))).unwrap()
            case.assertEqual(table.find(host, target).name, "look")
            case.assertEqual(found(set_route(**fields)), [])


def test_errors_are_found_with_their_path(case):
    """Guards against a configuration that is not adopted, or that refuses requests,
    and against a path that does not lead to the field."""
    one_key = [tenant(), tenant(Name="v")]
    for expected, change, fields in (
        ("Routes[1].Kind", set_route(1, Kind="sure"), {}),
        ("Routes[1].Name", set_route(1, Name="look"), {}),
        ("Routes[2].TimeoutMs", set_route(2, TimeoutMs="1"), {}),
        ("Routes[2].TimeoutMs", set_route(2, TimeoutMs=0), {}),
        ("Routes[2].TargetLatencyMs", set_route(2, TargetLatencyMs=-1), {}),
        ("Routes[3].GapAimMs", set_route(3, GapAimMs=0), {}),
        ("Routes[2].MaxAttempts", set_route(2, MaxAttempts=0), {}),
        ("Routes[0].Service", set_route(Service="dsk"), {}),
        ("Routes[3].Service", set_route(3, Service="desk"), {}),
        ("Routes[0].Split", split(0, 0), {}),
        ("Routes[0].Split[1].Weight", split(1, -1), {}),
        ("Services[1].MaxConnections", set_service(1, MaxConnections=0), {}),
        ("Services[0].Engine", set_service(0, Engine=5), {}),
        ("Limits.MaxBodyBytes", None, {"Limits": {"MaxBodyBytes": -1}}),
        ("Limits.IdleTimeoutMs", None, {"Limits": {"IdleTimeoutMs": 0}}),
        ("Tenants", None, {"Tenants": []}),
        ("Tenants[0].Name", None, {"Tenants": [tenant(Name=" w")]}),
        ("Tenants[1].Name", None, {"Tenants": [tenant(), tenant(ApiKeys=["a"])]}),
        ("Tenants[1].ApiKeys", None, {"Tenants": one_key}),
        ("Tenants[0].ApiKeys[1]", None, {"Tenants": [tenant(ApiKeys=[KEY, 5])]}),
    ):
        with case.subTest(expected):
            case.assertEqual(found(change, **fields), [(ERROR, expected)])
    case.assertEqual(
        found(split(1, 2, service="dsk"))[1][1], "Routes[0].Split[1].Service"
    )
    twice = [*configuration()["Services"], {"Name": "desk", "MaxConnections": 0}]
    paths = [path for _, path in found(Services=twice)]
    case.assertEqual(paths, ["Services[2].Name", "Services[2].MaxConnections"])
    for slots, cache in ((0, 1), (1, 0)):
        engine = {"Slots": slots, "KvCapacity": cache}
        field = "Engine.KvCapacity" if slots else "Engine.Slots"
        case.assertEqual(
            found(set_service(1, Engine=engine)), [(ERROR, f"Services[1].{field}")]
        )
    case.assertEqual(check_configuration(b"{")[0].path, "")


def test_services_are_found_by_any_name(case):
    """Guards against a traceback for a service that is named like an attribute."""
    names = ("services", "engine", "", "0")
    spare = [{"Name": name, "MaxConnections": 0} for name in names]
    expected = []
    for index in range(2, 2 + len(names)):
        path = f"Services[{index}]"
        expected += [(UNUSED, path), (ERROR, f"{path}.MaxConnections")]
    case.assertEqual(found(Services=configuration()["Services"] + spare), expected)


def test_entries_without_effect_are_found(case):
    """Guards against routes, shares, workspaces and services that do nothing."""
    spare = [*configuration()["Services"], {"Name": "spare"}]
    for expected, change, fields in (
        ("Routes[1].PathPrefix", set_route(1, PathPrefix="/look/"), {}),
        ("Routes[1].PathPrefix", set_route(1, PathPrefix="book/"), {}),
        ("Routes[0].Host", set_route(Host="shop.example:80"), {}),
        ("Routes[0].Split[1].Weight", split(1, 0), {}),
        ("Routes[0].Service", set_route(Split=[{"Service": "desk", "Weight": 1}]), {}),
        ("Services[2]", None, {"Services": spare}),
        ("Tenants[1].ApiKeys", None, {"Tenants": [tenant(), {"Name": "v"}]}),
        ("Tenants[0].ApiKeys", None, {"Tenants": [tenant(ApiKeys=[""])]}),
    ):
        with case.subTest(expected):
            case.assertEqual(found(change, **fields), [(UNUSED, expected)])
    # Hosts are compared in lower case.
    same = set_route(1, Host="SHOP.example", PathPrefix="/look/")
    case.assertEqual(found(same), [(UNUSED, "Routes[1].PathPrefix")])


def test_limits_that_contradict_each_other_are_found(case):
    """Guards against quotas and times that can't be kept together."""
    tokens = {"Unit": "token_stream", "PlainTokens": 200, "RatePerS": 9}
    for expected, change, quota in (
        ("Routes[0].TargetLatencyMs", set_route(TargetLatencyMs=3001), {}),
        ("Routes[0].MaxAttempts", set_route(MaxAttempts=16), {}),
        ("Tenants[0].Burst", None, {"RatePerS": 9, "Burst": 0.5}),
        ("Tenants[0].Burst", None, {"RatePerS": 9, "Burst": 0}),
        ("Tenants[0].Burst", None, {"RatePerS": 0, "Burst": 9}),
        ("Tenants[0].Burst", None, tokens | {"Burst": 199}),
        ("Tenants[0].PlainTokens", None, tokens | {"Burst": 9, "PlainTokens": 0}),
        ("Tenants[0].PlainTokens", None, {"RatePerS": 1, "Burst": 1, "PlainTokens": 1}),
    ):
        with case.subTest(expected):
            findings = found(change, Tenants=[tenant(**quota)])
            case.assertEqual(findings, [(CONTRADICTION, expected)])
    # The last of 15 attempts begins before the timeout.
    case.assertEqual(found(set_route(MaxAttempts=15)), [])


def test_version_that_is_not_adopted_is_found(case):
    """Guards against a change that instances ignore, as its version is not higher."""
    in_force = decode_configuration(encoded(Version=5)).unwrap()
    for version, timeout_ms, expected in (
        (6, 2000, []),
        (5, 3000, []),
        (5, 2000, ["Version"]),
        (4, 3000, ["Version"]),
    ):
        body = encoded(set_route(TimeoutMs=timeout_ms), Version=version)
        paths = [finding.path for finding in check_configuration(body, in_force)]
        case.assertEqual(paths, expected)


def test_no_finding_shows_a_key(case):
    """Guards against a key in a text that operators copy elsewhere."""
    for tenants in (
        [tenant(), tenant(Name="v")],
        [tenant(Name="")],
        [tenant(Priority="x")],
        [tenant(ApiKeys=KEY)],
        [tenant(ApiKeys={KEY: 1})],
        KEY,
    ):
        findings = check_configuration(encoded(Tenants=tenants))
        case.assertTrue(findings)
        case.assertNotIn(KEY, str(findings) + "".join(map(str, findings)))


load_tests = collect(globals())
