"""Membership under random loss, delay, duplication, freezes, kills and restarts."""

from hypothesis import given, settings, strategies as st

from amaranthbay.membership.events import MemberDied
from amaranthbay.membership.harness import Network
from amaranthbay.utils.testing import collect

SIZE = 5
# Shorter than the silence timeout, so that no frozen daemon may be declared dead.
LONGEST_FREEZE_S = 15
STEP = st.tuples(
    st.sampled_from(["kill", "restart", "freeze", "leave_alone"]),
    st.integers(0, SIZE - 1),
    st.integers(1, LONGEST_FREEZE_S),
)


def perform(network, step):
    """Performs one random step."""
    action, number, seconds = step
    node = network.nodes[f"entry-{number}"]
    if action == "kill":
        node.running = False
    if action == "restart":
        node.running = False
        network.run(0.01)
        network.start(number)
    node.frozen = action == "freeze"
    network.run(seconds)
    node.frozen = False


def process_states(network):
    """Returns whether each process still runs, by name and incarnation."""
    return {
        (node.name, node.protocol.view.own.incarnation): node.running
        for node in network.started
    }


@settings(derandomize=True, deadline=None, max_examples=25)
@given(
    seed=st.integers(0, 1000),
    loss=st.floats(0, 0.2),
    duplication=st.floats(0, 0.3),
    delay=st.floats(0.001, 0.5),
    steps=st.lists(STEP, max_size=6),
)
def check_deaths_and_recovery(seed, loss, duplication, delay, steps):
    network = Network(SIZE, seed)
    network.loss, network.duplication = loss, duplication
    network.delay_s = (0.001, delay)
    for step in steps:
        perform(network, step)
    is_running = process_states(network)
    for node in network.started:
        dead_members = [
            action.member for action in node.actions if isinstance(action, MemberDied)
        ]
        reported_deaths = [
            (member.instance, member.incarnation) for member in dead_members
        ]
        assert len(reported_deaths) == len(
            set(reported_deaths)
        ), "a death was reported twice"
        assert not any(
            is_running[process] for process in reported_deaths
        ), "a live process is dead"
    network.loss = network.duplication = 0.0
    network.delay_s = (0.001, 0.02)
    network.run(60)
    running_nodes = [node for node in network.nodes.values() if node.running]
    for node in running_nodes:
        for other in running_nodes:
            if other is not node:
                entry = node.protocol.view.roster.get(other.name)
                assert entry.member.state == "live"
                own = other.protocol.view.own.incarnation
                assert entry.member.incarnation == own


def test_only_ended_processes_are_declared_dead(case):
    """Guards against a false or repeated death, and against a lost member."""
    check_deaths_and_recovery()


load_tests = collect(globals())
