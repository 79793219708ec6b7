"""Membership protocol on a virtual network."""

from dataclasses import replace

from amaranthbay.membership.events import (
    Leave,
    MemberDied,
    NoticeCreated,
    Paused,
    Reincarnated,
    VersionSeen,
)
from amaranthbay.membership.harness import Network
from amaranthbay.membership.protocol import SILENCE_TIMEOUT_S
from amaranthbay.membership.wire import BackendNotice, BackendState
from amaranthbay.utils.testing import collect

LOST = "entry-1"
BOUND_S = 120.0
PROMISED_BYTES_S = 2000.0


def started(size=5):
    """Returns a network whose daemons know each other."""
    network = Network(size)
    network.run(10)
    return network


def others(network, name=LOST):
    """Returns the running daemons but one."""
    return [
        each for each in network.nodes.values() if each.running and each.name != name
    ]


def all_hold(network, state, name=LOST):
    """Returns whether all other daemons hold one in a state."""
    return all(each.state_of(name) == state for each in others(network, name))


def deaths(node, name=LOST):
    """Returns the incarnations of a member that a daemon reported dead."""
    return [
        action.member.incarnation
        for action in node.actions
        if isinstance(action, MemberDied) and action.member.instance == name
    ]


def happened(node, kind):
    """Returns the actions of a kind that a daemon took."""
    return [action for action in node.actions if isinstance(action, kind)]


def test_killed_daemon_is_proven_dead_once(case):
    """Guards against engine memory held for a dead daemon, or freed twice."""
    network = started()
    incarnation = network.nodes[LOST].protocol.view.own.incarnation
    network.kill(LOST)
    found = network.run_until(lambda: all_hold(network, "dead"), BOUND_S)
    case.assertIsNotNone(found)
    network.run(30)
    for node in others(network):
        case.assertEqual(deaths(node), [incarnation])


def test_frozen_daemon_is_suspected_and_comes_back(case):
    """Guards against a slow daemon whose live requests are cancelled."""
    network = started()
    network.nodes[LOST].frozen = True
    case.assertIsNotNone(
        network.run_until(lambda: all_hold(network, "suspected"), BOUND_S)
    )
    network.run(10)
    network.nodes[LOST].frozen = False
    case.assertIsNotNone(network.run_until(lambda: all_hold(network, "live"), BOUND_S))
    network.run(SILENCE_TIMEOUT_S)
    case.assertEqual([deaths(node) for node in others(network)], [[]] * 4)
    case.assertEqual(len(happened(network.nodes[LOST], Paused)), 1)
    case.assertFalse(happened(network.nodes[LOST], Reincarnated))


def test_silent_daemon_is_dead_only_after_the_bound(case):
    """Guards against a death without proof, and against none at all."""
    network = started()
    old = network.nodes[LOST].protocol.view.own.incarnation
    network.nodes[LOST].frozen = True
    network.run(SILENCE_TIMEOUT_S)
    case.assertEqual([deaths(node) for node in others(network)], [[]] * 4)
    case.assertIsNotNone(network.run_until(lambda: all_hold(network, "dead"), BOUND_S))
    network.nodes[LOST].frozen = False
    case.assertIsNotNone(network.run_until(lambda: all_hold(network, "live"), BOUND_S))
    case.assertEqual([deaths(node) for node in others(network)], [[old]] * 4)
    case.assertTrue(happened(network.nodes[LOST], Reincarnated))


def test_minority_of_a_partition_proves_nothing(case):
    """Guards against a daemon that is cut off and cancels everybody's requests."""
    network = started()
    network.partitioned = {LOST, "entry-2"}
    network.list_available = False
    network.run(4 * SILENCE_TIMEOUT_S)
    for name in network.partitioned:
        case.assertFalse(happened(network.nodes[name], MemberDied))
    network.partitioned = set()
    network.list_available = True
    names = list(network.nodes)
    case.assertIsNotNone(
        network.run_until(
            lambda: all(all_hold(network, "live", name) for name in names), BOUND_S
        )
    )


def test_healed_partition_gives_everyone_the_full_bound(case):
    """Guards against deaths by silence just after a daemon hears others again."""
    network = started(12)
    network.partitioned = {LOST}
    network.list_available = False
    network.run(2 * SILENCE_TIMEOUT_S)
    network.partitioned = set()
    network.nodes["entry-2"].frozen = True
    network.run(SILENCE_TIMEOUT_S / 2)
    network.nodes["entry-2"].frozen = False
    network.run(SILENCE_TIMEOUT_S)
    case.assertFalse(happened(network.nodes[LOST], MemberDied))


def test_restarted_daemon_is_another_incarnation(case):
    """Guards against records of the old process that wait for ever."""
    network = started()
    old = network.nodes[LOST].protocol.view.own.incarnation
    network.kill(LOST)
    network.start(1)
    network.run(20)
    case.assertTrue(all_hold(network, "live"))
    for node in others(network):
        case.assertEqual(deaths(node), [old])
        member = node.protocol.view.roster.get(LOST).member
        case.assertGreater(member.incarnation, old)


def test_clock_behind_the_old_process(case):
    """Guards against a new process that nobody believes to be new."""
    network = started()
    later = network.nodes[LOST].protocol.view.own.incarnation + 10**9
    network.kill(LOST)
    for node in others(network):
        entry = node.protocol.view.roster.get(LOST)
        view = node.protocol.view
        entry.member = replace(entry.member, incarnation=later)
        view.declare_dead(LOST, "test", network.now)
    network.start(1)
    case.assertIsNotNone(network.run_until(lambda: all_hold(network, "live"), BOUND_S))
    case.assertGreater(network.nodes[LOST].protocol.view.own.incarnation, later)


def test_restart_without_the_platform_finds_the_members(case):
    """Guards against a daemon that is alone for long after a restart in an outage."""
    network = started(27)
    network.run(20)
    network.list_available = False
    network.kill(LOST)
    network.run(5)
    node = network.start(1)
    found = network.run_until(
        lambda: node.protocol.view.roster.count_not_dead() == 26, 20
    )
    case.assertIsNotNone(found)
    case.assertIsNotNone(network.run_until(lambda: all_hold(network, "live"), BOUND_S))


def test_leaving_is_known_everywhere(case):
    """Guards against callers that are sent to a daemon that refuses them."""
    network = started(9)
    network.handle(network.nodes[LOST], Leave())
    case.assertIsNotNone(
        network.run_until(lambda: all_hold(network, "leaving"), BOUND_S)
    )
    network.run(20)
    case.assertTrue(all_hold(network, "leaving"))


def test_higher_configuration_version_is_noticed(case):
    """Guards against a configuration that waits for the next poll."""
    network = started()
    network.nodes[LOST].config_version = 7
    network.run(20)
    for node in others(network):
        seen = happened(node, VersionSeen)
        case.assertEqual([each.version for each in seen], [7])


def test_failures_keep_the_byte_budget(case):
    """Guards against control traffic that grows while many members fail."""
    network = started(24)
    network.partitioned = {f"entry-{number}" for number in range(8)}
    assert_budget(case, network)


def test_flood_of_updates_keeps_the_byte_budget(case):
    """Guards against control traffic that grows with the number of changes."""
    network = started(24)
    for node in network.nodes.values():
        for number in range(300):
            notice = BackendNotice(f"{node.name}-{number}", BackendState.LEAVING, 1)
            network.handle(node, NoticeCreated(notice))
    assert_budget(case, network)


def assert_budget(case, network):
    """Asserts that every daemon keeps the budget over a virtual minute."""
    seconds = 60
    before = {name: bytes_of(node) for name, node in network.nodes.items()}
    network.run(seconds)
    for name, node in network.nodes.items():
        case.assertLess((bytes_of(node) - before[name]) / seconds, PROMISED_BYTES_S)


def bytes_of(node):
    """Returns the bytes that a daemon sent and received."""
    return node.protocol.composer.budget.bytes_total


def test_one_broken_link_suspects_nobody(case):
    """Guards against members that are dropped because one daemon can't reach them."""
    network = started()
    network.broken_links = {frozenset((LOST, "entry-2"))}
    for _ in range(60):
        network.run(1)
        case.assertTrue(all_hold(network, "live"))
        case.assertTrue(all_hold(network, "live", "entry-2"))


def test_pause_of_the_own_process_proves_nothing(case):
    """Guards against deaths by a silence that this daemon slept through."""
    network = started()
    paused = network.nodes["entry-2"]
    network.nodes[LOST].frozen = True
    case.assertIsNotNone(
        network.run_until(lambda: all_hold(network, "suspected"), BOUND_S)
    )
    paused.frozen = True
    network.run(10)
    network.nodes[LOST].frozen = False
    network.run(2 * SILENCE_TIMEOUT_S)
    paused.frozen = False
    network.run(SILENCE_TIMEOUT_S)
    case.assertEqual(deaths(paused), [])
    case.assertIsNotNone(network.run_until(lambda: all_hold(network, "live"), BOUND_S))


load_tests = collect(globals())
