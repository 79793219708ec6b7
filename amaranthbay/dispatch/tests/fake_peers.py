"""Fake membership, peer channel and table service in memory, for tests."""

import gevent
from result import Err, Ok

from amaranthbay.kernel.interfaces import Membership, PeerChannel, TableService
from amaranthbay.membership.types import Member
from amaranthbay.platform.types import CommitOutcome, CommitState, Row


def member(instance, incarnation=1):
    """Returns the `Member` of a daemon."""
    return Member(instance, "zone-a", "region-1", "", "", "", incarnation)


class FakePeers:
    """All daemons of a test, connected in memory.

    Attributes:
        members: Live daemons as `Member` by instance.
        handlers: Message handlers by instance and message type.
        silent: Instances that receive no messages.
        callbacks: Functions to call with each dead `Member`.
        sent: Messages as tuples of sender, recipient and message.
    """

    def __init__(self, *instances):
        self.members = {instance: member(instance) for instance in instances}
        self.handlers = {}
        self.silent = set()
        self.callbacks = []
        self.sent = []

    def die(self, instance):
        """Removes a daemon and reports its proven death to all daemons."""
        dead = self.members.pop(instance)
        for callback in self.callbacks:
            callback(dead)


class FakeMembership(Membership):
    """Membership of one daemon of a `FakePeers`."""

    def __init__(self, peers, instance):
        self._peers = peers
        self._own = instance

    def own(self):
        return self._peers.members.get(self._own) or member(self._own)

    def live(self):
        return tuple(self._peers.members.values())

    def member(self, instance):
        return self._peers.members.get(instance)

    def on_death(self, callback):
        self._peers.callbacks.append(callback)


class FakeChannel(PeerChannel):
    """Channel of one daemon of a `FakePeers`."""

    def __init__(self, peers, instance):
        self._peers = peers
        self._own = instance

    def send(self, instance, message):
        gevent.spawn(self.ask, instance, message, 1.0)
        return True

    def ask(self, instance, message, timeout_s):
        self._peers.sent.append((self._own, instance, message))
        gevent.sleep(0)
        handler = self._peers.handlers.get((instance, type(message)))
        if instance in self._peers.silent or handler is None:
            gevent.sleep(timeout_s)
            return None
        return handler(self._own, message)

    def register_handler(self, message_type, handler):
        self._peers.handlers[self._own, message_type] = handler


class MemoryTable(TableService):
    """Table service in memory, with faults.

    Attributes:
        rows: Rows by key.
        down: Whether all calls fail.
        lose_replies: Number of next commits that are applied but whose outcome is
            unknown to the caller.
    """

    def __init__(self):
        self.rows = {}
        self.down = False
        self.lose_replies = 0
        self._version = 0

    def commit(self, writes):
        if self.down:
            return CommitOutcome(CommitState.NOT_DONE, {})
        conflicts = [write.key for write in writes if not self._allows(write)]
        if not conflicts:
            versions = {write.key: self._apply(write) for write in writes}
        if self.lose_replies:
            self.lose_replies -= 1
            return CommitOutcome(CommitState.UNKNOWN, {})
        if conflicts:
            return CommitOutcome(CommitState.CONFLICT, {}, tuple(conflicts))
        return CommitOutcome(CommitState.DONE, versions)

    def _allows(self, write):
        row = self.rows.get(write.key)
        version = row.version if row else 0
        return write.if_version is None or write.if_version == version

    def _apply(self, write):
        self._version += 1
        if write.value is None:
            self.rows.pop(write.key, None)
        else:
            self.rows[write.key] = Row(write.key, write.value, self._version)
        return self._version

    def read(self, key):
        return Err("down") if self.down else Ok(self.rows.get(key))

    def scan(self, prefix, after="", limit=1000):
        if self.down:
            return Err("down")
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return Ok(tuple(self.rows[key] for key in keys if key > after)[:limit])
