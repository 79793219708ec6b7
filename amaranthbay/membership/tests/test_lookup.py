"""Lookup order: distance, even distribution, and stability when members change."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from amaranthbay.membership import Member, lookup_order
from amaranthbay.utils.testing import collect

ZONES = {"zone-a": "north", "zone-b": "north", "zone-c": "south"}
WORKSPACES = [f"ws-{number}" for number in range(2000)]


def make_member(number, zone):
    """Returns a live member."""
    return Member(f"entry-{number}", zone, ZONES[zone], "a", "m", "p")


def nine_members():
    """Returns three members in each availability zone."""
    zones = sorted(ZONES) * 3
    return [make_member(number, zone) for number, zone in enumerate(zones)]


MEMBERS = st.lists(st.sampled_from(sorted(ZONES)), min_size=1, max_size=12).map(
    lambda zones: [make_member(number, zone) for number, zone in enumerate(zones)]
)


@settings(derandomize=True)
@given(members=MEMBERS, workspace=st.text(max_size=20), data=st.data())
def check_order(members, workspace, data):
    order = lookup_order(members, "summary", workspace, "zone-a", "north")
    assert sorted(order, key=id) == sorted(members, key=id)
    zones = [member.availability_zone for member in order]
    ranks = [{"zone-a": 0, "zone-b": 1, "zone-c": 2}[zone] for zone in zones]
    assert ranks == sorted(ranks)
    shuffled = data.draw(st.permutations(members))
    assert lookup_order(shuffled, "summary", workspace, "zone-a", "north") == order
    removed = data.draw(st.sampled_from(members))
    remaining = [member for member in members if member is not removed]
    shorter = lookup_order(remaining, "summary", workspace, "zone-a", "north")
    assert shorter == tuple(member for member in order if member is not removed)


def first_instance(members, workspace, zone="zone-a"):
    """Returns the instance that is first in the order of a workspace."""
    order = lookup_order(members, "summary", workspace, zone, ZONES.get(zone, ""))
    return order[0].instance


def test_order_is_by_distance_and_stable(case):
    """Guards against callers that are sent to a distant member, or moved needlessly."""
    check_order()


def test_workspaces_spread_over_the_zone(case):
    """Guards against one daemon that gets most workspaces of its zone."""
    counts = Counter(
        first_instance(nine_members(), workspace) for workspace in WORKSPACES
    )
    case.assertEqual(len(counts), 3)
    case.assertLess(max(counts.values()), 1.2 * len(WORKSPACES) / 3)


def test_unknown_zone_spreads_over_all(case):
    """Guards against one zone that serves all callers of an unknown zone."""
    members = nine_members()
    counts = Counter(
        first_instance(members, workspace, "zone-x") for workspace in WORKSPACES
    )
    case.assertEqual(len(counts), 9)
    case.assertLess(max(counts.values()), 1.5 * len(WORKSPACES) / 9)


def test_new_member_moves_only_its_share(case):
    """Guards against lost caches of workspaces that move when a daemon is added."""
    before = nine_members()
    after = before + [make_member(9, "zone-a")]
    moved = [
        workspace
        for workspace in WORKSPACES
        if first_instance(before, workspace) != first_instance(after, workspace)
    ]
    case.assertEqual(
        {first_instance(after, workspace) for workspace in moved}, {"entry-9"}
    )
    case.assertLess(len(moved), 1.2 * len(WORKSPACES) / 4)


load_tests = collect(globals())
