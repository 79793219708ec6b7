"""Membership protocol on a simulated network."""

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

TARGET = "entry-1"
TIMEOUT_S = 120.0
MAX_BYTES_S = 2000.0


def started_network(size=5):
    """Returns a network that has run until its daemons know each other."""
    network = Network(size)
    network.run(10)
    return network


def others(network, name=TARGET):
    """Returns the running daemons except one."""
    return [
        node for node in network.nodes.values() if node.running and node.name != name
    ]


def all_see_state(network, state, name=TARGET):
    """Returns whether a daemon has a state in the view of all others."""
    return all(node.state_of(name) == state for node in others(network, name))


def reported_deaths(node, name=TARGET):
    """Returns the incarnations of a member whose death a daemon reported."""
    return [
        action.member.incarnation
        for action in node.actions
        if isinstance(action, MemberDied) and action.member.instance == name
    ]


def actions_of(node, kind):
    """Returns the actions of one type that a daemon's protocol returned."""
    return [action for action in node.actions if isinstance(action, kind)]


def test_killed_daemon_is_declared_dead_once(case):
    """Guards against engine memory that stays reserved for a dead daemon.

    Also guards against a death that is reported twice, which would free it twice.
    """
    network = started_network()
    incarnation = network.nodes[TARGET].protocol.view.own.incarnation
    network.kill(TARGET)
    elapsed_s = network.run_until(lambda: all_see_state(network, "dead"), TIMEOUT_S)
    case.assertIsNotNone(elapsed_s)
    network.run(30)
    for node in others(network):
        case.assertEqual(reported_deaths(node), [incarnation])


def test_frozen_daemon_is_suspected_and_comes_back(case):
    """Guards against cancelled requests of a daemon that is slow, not dead."""
    network = started_network()
    network.nodes[TARGET].frozen = True
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "suspected"), TIMEOUT_S)
    )
    network.run(10)
    network.nodes[TARGET].frozen = False
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "live"), TIMEOUT_S)
    )
    network.run(SILENCE_TIMEOUT_S)
    case.assertEqual([reported_deaths(node) for node in others(network)], [[]] * 4)
    case.assertEqual(len(actions_of(network.nodes[TARGET], Paused)), 1)
    case.assertFalse(actions_of(network.nodes[TARGET], Reincarnated))


def test_silent_daemon_is_dead_only_after_the_timeout(case):
    """Guards against a death before the silence timeout, and a missing one after it."""
    network = started_network()
    old_incarnation = network.nodes[TARGET].protocol.view.own.incarnation
    network.nodes[TARGET].frozen = True
    network.run(SILENCE_TIMEOUT_S)
    case.assertEqual([reported_deaths(node) for node in others(network)], [[]] * 4)
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "dead"), TIMEOUT_S)
    )
    network.nodes[TARGET].frozen = False
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "live"), TIMEOUT_S)
    )
    case.assertEqual(
        [reported_deaths(node) for node in others(network)], [[old_incarnation]] * 4
    )
    case.assertTrue(actions_of(network.nodes[TARGET], Reincarnated))


def test_minority_of_a_partition_declares_nobody_dead(case):
    """Guards against a cut-off daemon that cancels the requests of all others."""
    network = started_network()
    network.partitioned = {TARGET, "entry-2"}
    network.list_available = False
    network.run(4 * SILENCE_TIMEOUT_S)
    for name in network.partitioned:
        case.assertFalse(actions_of(network.nodes[name], MemberDied))
    network.partitioned = set()
    network.list_available = True
    names = list(network.nodes)
    case.assertIsNotNone(
        network.run_until(
            lambda: all(all_see_state(network, "live", name) for name in names),
            TIMEOUT_S,
        )
    )


def test_healed_partition_restarts_the_silence_timeout(case):
    """Guards against deaths by silence just after a partition has healed.

    The silence during the partition must not count: a member that is frozen after it
    has the full silence timeout.
    """
    network = started_network(12)
    network.partitioned = {TARGET}
    network.list_available = False
    network.run(2 * SILENCE_TIMEOUT_S)
    network.partitioned = set()
    network.nodes["entry-2"].frozen = True
    network.run(SILENCE_TIMEOUT_S / 2)
    network.nodes["entry-2"].frozen = False
    network.run(SILENCE_TIMEOUT_S)
    case.assertFalse(actions_of(network.nodes[TARGET], MemberDied))


def test_restarted_daemon_is_another_incarnation(case):
    """Guards against an old process whose death is never reported after a restart.

    Its records would then wait forever.
    """
    network = started_network()
    old_incarnation = network.nodes[TARGET].protocol.view.own.incarnation
    network.kill(TARGET)
    network.start(1)
    network.run(20)
    case.assertTrue(all_see_state(network, "live"))
    for node in others(network):
        case.assertEqual(reported_deaths(node), [old_incarnation])
        member = node.protocol.view.roster.get(TARGET).member
        case.assertGreater(member.incarnation, old_incarnation)


def test_restart_with_an_earlier_clock_is_a_new_incarnation(case):
    """Guards against a restarted daemon that its peers ignore.

    Its clock is behind that of the old process, so it starts with a lower incarnation.
    """
    network = started_network()
    later_incarnation = network.nodes[TARGET].protocol.view.own.incarnation + 10**9
    network.kill(TARGET)
    for node in others(network):
        entry = node.protocol.view.roster.get(TARGET)
        view = node.protocol.view
        entry.member = replace(entry.member, incarnation=later_incarnation)
        view.declare_dead(TARGET, "test", network.now)
    network.start(1)
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "live"), TIMEOUT_S)
    )
    case.assertGreater(
        network.nodes[TARGET].protocol.view.own.incarnation, later_incarnation
    )


def test_restart_without_the_platform_finds_the_members(case):
    """Guards against a daemon that finds no peers after a restart in an outage."""
    network = started_network(27)
    network.run(20)
    network.list_available = False
    network.kill(TARGET)
    network.run(5)
    node = network.start(1)
    elapsed_s = network.run_until(
        lambda: node.protocol.view.roster.count_not_dead() == 26, 20
    )
    case.assertIsNotNone(elapsed_s)
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "live"), TIMEOUT_S)
    )


def test_leaving_is_known_everywhere(case):
    """Guards against callers that are sent to a leaving daemon, which refuses them."""
    network = started_network(9)
    network.handle(network.nodes[TARGET], Leave())
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "leaving"), TIMEOUT_S)
    )
    network.run(20)
    case.assertTrue(all_see_state(network, "leaving"))


def test_higher_configuration_version_is_noticed(case):
    """Guards against a new configuration that is adopted only at the next poll."""
    network = started_network()
    network.nodes[TARGET].config_version = 7
    network.run(20)
    for node in others(network):
        version_actions = actions_of(node, VersionSeen)
        case.assertEqual([action.version for action in version_actions], [7])


def test_failures_keep_the_byte_budget(case):
    """Guards against control traffic that grows while many members fail."""
    network = started_network(24)
    network.partitioned = {f"entry-{number}" for number in range(8)}
    assert_byte_budget_kept(case, network)


def test_flood_of_updates_keeps_the_byte_budget(case):
    """Guards against control traffic that grows with the number of changes."""
    network = started_network(24)
    for node in network.nodes.values():
        for number in range(300):
            notice = BackendNotice(f"{node.name}-{number}", BackendState.LEAVING, 1)
            network.handle(node, NoticeCreated(notice))
    assert_byte_budget_kept(case, network)


def assert_byte_budget_kept(case, network):
    """Asserts that every daemon keeps the byte limit over a virtual minute."""
    seconds = 60
    before = {name: bytes_of(node) for name, node in network.nodes.items()}
    network.run(seconds)
    for name, node in network.nodes.items():
        case.assertLess((bytes_of(node) - before[name]) / seconds, MAX_BYTES_S)


def bytes_of(node):
    """Returns the bytes that a daemon has sent and received."""
    return node.protocol.composer.budget.bytes_total


def test_one_broken_link_causes_no_suspicion(case):
    """Guards against members that are suspected because one daemon can't reach them."""
    network = started_network()
    network.broken_links = {frozenset((TARGET, "entry-2"))}
    for _ in range(60):
        network.run(1)
        case.assertTrue(all_see_state(network, "live"))
        case.assertTrue(all_see_state(network, "live", "entry-2"))


def test_own_pause_does_not_count_as_silence(case):
    """Guards against deaths by a silence during which this daemon itself was paused."""
    network = started_network()
    paused_node = network.nodes["entry-2"]
    network.nodes[TARGET].frozen = True
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "suspected"), TIMEOUT_S)
    )
    paused_node.frozen = True
    network.run(10)
    network.nodes[TARGET].frozen = False
    network.run(2 * SILENCE_TIMEOUT_S)
    paused_node.frozen = False
    network.run(SILENCE_TIMEOUT_S)
    case.assertEqual(reported_deaths(paused_node), [])
    case.assertIsNotNone(
        network.run_until(lambda: all_see_state(network, "live"), TIMEOUT_S)
    )


load_tests = collect(globals())
