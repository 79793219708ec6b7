"""In-memory platform, pausable calls and peers for the tests of lasting state."""

import contextlib

import greenlet
from absl import logging as absl_logging
from result import Err, Ok

from amaranthbay.kernel.interfaces import (
    Membership,
    ObjectStore,
    PeerChannel,
    TableService,
)
from amaranthbay.membership.types import Member
from amaranthbay.platform.types import (
    CommitOutcome,
    CommitState,
    PlatformFailure,
    Row,
)
from amaranthbay.utils.testing import ManualClock

__all__ = [
    "MemoryObjects",
    "MemoryPeers",
    "MemoryTable",
    "StepClock",
    "pause",
    "quiet_logs",
    "start",
]

FAULTS = ("ok", "lost", "late", "dropped", "down")


class StepClock(ManualClock):
    """Manual clock whose sleep does not yield."""

    def sleep(self, seconds):
        self.advance(seconds)


def start(function, *args):
    """Runs a function up to its first pause; returns its greenlet."""
    job = greenlet.greenlet(function)
    job.switch(*args)
    return job


def pause(operation):
    """Suspends a started function and returns what it is resumed with."""
    parent = greenlet.getcurrent().parent
    return "ok" if parent is None else parent.switch(operation)


@contextlib.contextmanager
def quiet_logs():
    """Keeps the log lines of thousands of examples out of the test output."""
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.FATAL)
    try:
        yield
    finally:
        absl_logging.set_verbosity(before)


class MemoryTable(TableService):
    """Table with faults: replies lost, effects late, outages.

    Attributes:
        late: Commits whose reply was lost and that have not taken effect yet.
        conditional: Whether conditions are checked; a proof that needs them has
            to fail without them.
    """

    def __init__(self, fault=lambda operation: "ok", conditional=True):
        self.rows = {}
        self.late = []
        self.conditional = conditional
        self.commits = 0
        self._fault = fault
        self._version = 0

    def commit(self, writes):
        fault = self._fault("commit")
        if fault == "down":
            return CommitOutcome(CommitState.NOT_DONE, {})
        if fault == "late":
            self.late.append(tuple(writes))
        if fault in ("late", "dropped"):
            return CommitOutcome(CommitState.UNKNOWN, {})
        outcome = self.apply(writes)
        if fault == "lost":
            return CommitOutcome(CommitState.UNKNOWN, {})
        return outcome

    def apply(self, writes):
        """Applies a transaction and returns its outcome."""
        self.commits += 1
        conflicts = tuple(each.key for each in writes if not self._allows(each))
        if conflicts:
            return CommitOutcome(CommitState.CONFLICT, {}, conflicts)
        versions = {}
        for write in writes:
            self._version += 1
            versions[write.key] = self._version
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, write.value, self._version)
        return CommitOutcome(CommitState.DONE, versions)

    def apply_late(self, index):
        """Lets a commit take effect whose reply was lost long ago."""
        self.apply(self.late.pop(index % len(self.late)))

    def _allows(self, write):
        if write.if_version is None or not self.conditional:
            return True
        row = self.rows.get(write.key)
        return write.if_version == (row.version if row else 0)

    def read(self, key):
        if self._fault("read") not in ("ok", "refused"):
            return Err(PlatformFailure("fault"))
        return Ok(self.rows.get(key))

    def scan(self, prefix, after="", limit=1000):
        if self._fault("scan") not in ("ok", "refused"):
            return Err(PlatformFailure("fault"))
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return Ok(tuple(self.rows[key] for key in keys[:limit]))


class MemoryObjects(ObjectStore):
    """Object store that counts what is fetched."""

    def __init__(self, fault=lambda operation: "ok"):
        self.objects = {}
        self.fetched = []
        self._fault = fault

    def put(self, name, body):
        if self._fault("put") != "ok":
            return Err(PlatformFailure("fault"))
        self.objects[name] = body
        return Ok(None)

    def get(self, name):
        if self._fault("get") != "ok":
            return Err(PlatformFailure("fault"))
        self.fetched.append(name)
        return Ok(self.objects.get(name))


class _Endpoint(Membership, PeerChannel):
    """Membership and channel of one daemon."""

    def __init__(self, peers, instance):
        self._peers = peers
        self.instance = instance
        self.handlers = {}

    def own(self):
        return _member(self.instance)

    def live(self):
        return tuple(_member(each) for each in self._peers.endpoints)

    def member(self, instance):
        return _member(instance) if instance in self._peers.endpoints else None

    def on_death(self, callback):
        pass

    def send(self, instance, message):
        return self.ask(instance, message, 1.0) is not None

    def ask(self, instance, message, timeout_s):
        blocked = {self.instance, instance} & self._peers.cut_off
        target = self._peers.endpoints.get(instance)
        if blocked or target is None or type(message) not in target.handlers:
            return None
        return target.handlers[type(message)](self.instance, message)

    def on(self, message_type, handler):
        self.handlers[message_type] = handler


class MemoryPeers:
    """Connects daemons in one process.

    Attributes:
        cut_off: Instances that reach nobody and that nobody reaches.
    """

    def __init__(self):
        self.endpoints = {}
        self.cut_off = set()

    def join(self, instance):
        """Returns an object that is both `Membership` and `PeerChannel`."""
        self.endpoints[instance] = _Endpoint(self, instance)
        return self.endpoints[instance]


def _member(instance):
    return Member(instance, "zone-a", "region-1", "", "", "")
