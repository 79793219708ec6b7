"""In-memory platform and peers, and pausable functions, for the tests of `state`."""

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
    "run_until_pause",
]

# Faults of a commit. The reply is lost with three of them: "lost" applies the commit,
# "late" applies it when the test calls `apply_late`, "dropped" never applies it.
# "down" means that the platform was not reached.
FAULTS = ("ok", "lost", "late", "dropped", "down")


class StepClock(ManualClock):
    """Manual clock whose sleep does not yield to other greenlets."""

    def sleep(self, seconds):
        self.advance(seconds)


def run_until_pause(function, *args):
    """Runs a function until it first calls `pause`; returns its greenlet.

    The greenlet's ``switch(fault)`` resumes the function with a fault.
    """
    job = greenlet.greenlet(function)
    job.switch(*args)
    return job


def pause(operation):
    """Suspends the calling greenlet before an operation.

    Returns:
        The fault that the greenlet is resumed with; ``"ok"`` outside of
        `run_until_pause`, where nothing is suspended.
    """
    parent = greenlet.getcurrent().parent
    return "ok" if parent is None else parent.switch(operation)


@contextlib.contextmanager
def quiet_logs():
    """Suppresses the log lines of thousands of examples."""
    previous = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.FATAL)
    try:
        yield
    finally:
        absl_logging.set_verbosity(previous)


class MemoryTable(TableService):
    """Table with lost replies, late commits and outages.

    Attributes:
        rows: `Row` by key.
        late: Commits whose reply was lost and that have not taken effect yet.
        conditional: Whether conditions of writes are checked. Tests turn the checks
            off to show that a state machine detects their absence.
        commits: Number of commits that reached the table.
    """

    def __init__(self, fault=lambda operation: "ok", conditional=True):
        """Creates an empty table.

        Args:
            fault: Function that is called with the name of each operation and returns
                one of `FAULTS`, or ``"refused"``, a fault of backend servers that
                counts as ``"ok"`` here. Reads fail with any other fault.
            conditional: Whether conditions of writes are checked.
        """
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
        """Applies a transaction without faults; returns its `CommitOutcome`."""
        self.commits += 1
        conflicts = tuple(write.key for write in writes if not self._allows(write))
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
        """Applies a late commit; the index wraps around."""
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
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return Ok(tuple(self.rows[key] for key in keys[:limit]))


class MemoryObjects(ObjectStore):
    """Object store in memory.

    Attributes:
        objects: Bodies by name.
        fetched: Names of the objects that were fetched, in this order.
    """

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
    """`Membership` and `PeerChannel` of one daemon."""

    def __init__(self, peers, instance):
        self._peers = peers
        self.instance = instance
        self.handlers = {}

    def own(self):
        return _member(self.instance)

    def live(self):
        return tuple(_member(instance) for instance in self._peers.endpoints)

    def member(self, instance):
        return _member(instance) if instance in self._peers.endpoints else None

    def on_death(self, callback):
        pass

    def send(self, instance, message):
        return self.ask(instance, message, 1.0) is not None

    def ask(self, instance, message, timeout_s):
        cut_off = {self.instance, instance} & self._peers.cut_off
        target = self._peers.endpoints.get(instance)
        if cut_off or target is None or type(message) not in target.handlers:
            return None
        return target.handlers[type(message)](self.instance, message)

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler


class MemoryPeers:
    """Connects daemons in one process.

    Attributes:
        endpoints: Membership and channel by instance.
        cut_off: Instances that can't exchange messages with any other.
    """

    def __init__(self):
        self.endpoints = {}
        self.cut_off = set()

    def join(self, instance):
        """Adds a daemon; returns its `Membership`, which is its `PeerChannel`, too."""
        self.endpoints[instance] = _Endpoint(self, instance)
        return self.endpoints[instance]


def _member(instance):
    return Member(instance, "zone-a", "region-1", "", "", "")
