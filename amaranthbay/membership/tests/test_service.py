"""Membership over UDP between several `ProbedMembership` objects in one process."""

import socket

from result import Ok

from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.interfaces import InstanceList
from amaranthbay.membership import BackendDirectory, MemberState, ProbedMembership
from amaranthbay.peering import KeyRing
from amaranthbay.platform.types import Instance
from amaranthbay.settings.daemon import DaemonSettings, KeySettings
from amaranthbay.utils.http import split_address
from amaranthbay.utils.testing import collect, free_port, wait_until

SIZE = 3


class StubInstanceList(InstanceList):
    """Instance list with the entries that a test sets."""

    def __init__(self, entries):
        self.entries = tuple(entries)

    def fetch(self):
        return Ok(self.entries)


def key_ring(secret="k" * 32):
    """Returns a `KeyRing` with one key."""
    return KeyRing([KeySettings("k", environment="K")], {"K": secret})


def settings_of(number):
    """Returns the settings of one member."""
    addresses = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    udp = f"127.0.0.1:{free_port()}"
    return DaemonSettings(
        f"entry-{number}", "zone-a", "north", addresses[0], udp, addresses[1], ""
    )


def entry_of(settings):
    """Returns a member's entry in the instance list."""
    return Instance(
        settings.instance,
        "entry",
        settings.availability_zone,
        "live",
        settings.caller_address,
        settings.region,
        membership_address=settings.membership_address,
        peer_address=settings.peer_address,
    )


def accept_connections(case, address):
    """Accepts connections, so that no refused port check proves a death."""
    listener = socket.socket()
    case.addCleanup(listener.close)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(split_address(address))
    listener.listen()


def started_memberships(case, rings=None):
    """Starts memberships that share an instance list.

    Returns:
        The memberships and the list.
    """
    settings = [settings_of(number) for number in range(SIZE)]
    rings = rings or [key_ring()] * SIZE
    memberships = [
        ProbedMembership(member_settings, ring, SystemClock())
        for member_settings, ring in zip(settings, rings)
    ]
    for member_settings, membership in zip(settings, memberships):
        accept_connections(case, member_settings.caller_address)
        membership.start()
        case.addCleanup(membership.stop)
    listed = [entry_of(member_settings) for member_settings in settings]
    for membership in memberships:
        membership.apply_list(listed)
    return memberships, listed


def know_each_other(memberships):
    """Returns whether every membership knows the incarnation of all members."""
    return all(
        member.incarnation > 0
        for membership in memberships
        for member in membership.members()
    )


def test_notice_reaches_a_daemon_with_a_stale_list(case):
    """Guards against new work on a leaving server by a daemon with a stale list."""
    memberships, listed = started_memberships(case)
    server = Instance("d-1", "backend", "zone-a", "live", "127.0.0.1:1", "", "decode")
    leaving = Instance(
        "d-1", "backend", "zone-a", "leaving", "127.0.0.1:1", "", "decode"
    )
    lists = [StubInstanceList([*listed, server]) for _ in memberships]
    directories = [
        BackendDirectory(instance_list, SystemClock()) for instance_list in lists
    ]
    for membership, directory in zip(memberships, directories):
        directory.use_peers(membership.peer_silence_s, membership.gossip_notice)
        membership.on_notice(directory.apply_notice)
        directory.refresh()
    case.assertTrue(all(directory.servers(("decode",)) for directory in directories))
    lists[0].entries = (*listed, leaving)
    directories[0].refresh()
    wait_until(
        lambda: not any(directory.servers(("decode",)) for directory in directories)
    )
    directories[2].refresh()
    case.assertEqual(directories[2].servers(("decode",)), ())


def test_bad_datagrams_are_dropped(case):
    """Guards against a datagram that ends the receive loop."""
    memberships, _ = started_memberships(case)
    target = split_address(memberships[0].own().membership_address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for frame in (b"", b"\x01", b"x" * 100, b"\x01" * 1000):
            sock.sendto(frame, target)
    wait_until(lambda: sum(memberships[0].drops.counts.values()) == 4)
    wait_until(lambda: know_each_other(memberships))


def test_member_with_another_key_is_not_trusted(case):
    """Guards against trust in a member without a valid key."""
    memberships, _ = started_memberships(
        case, [key_ring(), key_ring(), key_ring("x" * 32)]
    )
    wait_until(lambda: memberships[0].member("entry-2").state is MemberState.SUSPECTED)
    wait_until(lambda: memberships[0].drops.counts["unauthenticated"])
    case.assertEqual(memberships[0].member("entry-2").incarnation, 0)
    case.assertIs(memberships[0].member("entry-1").state, MemberState.LIVE)


def test_callbacks_are_called(case):
    """Guards against a death or a configuration version without a callback."""
    memberships, _ = started_memberships(case)
    wait_until(lambda: know_each_other(memberships))
    died, versions = [], []
    memberships[0].on_death(died.append)
    memberships[0].on_version(
        lambda instance, version: versions.append((instance, version))
    )
    old_member = memberships[0].member("entry-1")
    memberships[0].note_peer_message("entry-1", old_member.incarnation + 1)
    wait_until(lambda: died)
    case.assertEqual(
        (died[0].instance, died[0].incarnation), ("entry-1", old_member.incarnation)
    )
    case.assertEqual(
        memberships[0].member("entry-1").incarnation, old_member.incarnation + 1
    )
    memberships[2]._protocol.composer._config_version = lambda: 7
    wait_until(lambda: versions)
    case.assertEqual(versions, [("entry-2", 7)])


def test_without_a_key_the_instance_list_decides(case):
    """Guards against a daemon without a key that knows no other daemons."""
    settings = settings_of(0)
    membership = ProbedMembership(settings, KeyRing(()), SystemClock())
    membership.start()
    case.addCleanup(membership.stop)
    other = entry_of(settings_of(1))
    membership.apply_list([entry_of(settings), other])
    case.assertEqual(
        {member.instance for member in membership.live()}, {"entry-0", "entry-1"}
    )
    membership.apply_list([entry_of(settings)])
    case.assertEqual([member.instance for member in membership.live()], ["entry-0"])
    membership.leave()
    case.assertEqual(membership.live(), ())


load_tests = collect(globals())
