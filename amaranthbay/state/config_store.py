"""Configuration in force at a daemon: polled, heard from peers, adopted."""

import random

import gevent
import gevent.event
import msgspec

from amaranthbay.observe import log_event
from amaranthbay.state.accept import ROW_KEY, AcceptState, accept_configuration
from amaranthbay.state.config_fetch import (
    ASK_TIMEOUT_S,
    PeerObjects,
    PlatformObjects,
    answer_objects,
    load,
)
from amaranthbay.state.config_messages import (
    ConfigAnswer,
    ConfigObjectsQuery,
    ConfigQuery,
)
from amaranthbay.state.sections import ConfigPointer

__all__ = ["AcceptState", "ConfigPointer", "ConfigStore", "accept_configuration"]

POLL_S = 2.0
CONFIRMATION_S = 5.0
PEERS_AT_START = 16
PEERS_PER_POLL = 3


class ConfigStore:
    """Holds the highest configuration that this daemon has adopted."""

    def __init__(self, table, objects, clock, membership=None, channel=None, rng=None):
        """Creates an empty store.

        Args:
            table: `TableService`.
            objects: `ObjectStore`.
            clock: `Clock`.
            membership: `Membership`, or None without peers.
            channel: `PeerChannel`, or None without peers.
            rng: Source of the choice of peers.
        """
        self._table = table
        self._platform = PlatformObjects(objects)
        self._clock = clock
        self._membership = membership
        self._channel = channel
        self._rng = rng or random.Random()
        self._loaded = None
        self._confirmed_at = None
        self._heard = 0
        self._heard_from = None
        self._behind_since = None
        self._wake = gevent.event.Event()
        self.adopted = gevent.event.Event()
        if channel is not None:
            channel.on(ConfigQuery, self._answer_query)
            channel.on(ConfigObjectsQuery, self._answer_objects)

    @property
    def current(self):
        """Configuration in force, or None."""
        return self._loaded.configuration if self._loaded else None

    @property
    def version(self):
        """Version in force; 0 if none."""
        return self._loaded.pointer.version if self._loaded else 0

    def unconfirmed(self):
        """Returns why the configuration may be out of date, or None.

        A daemon for which this is not None must refuse new work.
        """
        now = self._clock.monotonic()
        if not self._is_confirmed(now):
            return "the daemon reaches neither the platform nor another daemon"
        if self._behind_since is not None and (
            now - self._behind_since > CONFIRMATION_S
        ):
            return "the daemon can't fetch the configuration in force"
        return None

    def _is_confirmed(self, now):
        at = self._confirmed_at
        return at is not None and now - at <= CONFIRMATION_S

    def hear_version(self, version, instance):
        """Takes note of the version that another daemon has in force.

        A message without a reply only extends a confirmation: after a pause, old
        messages that waited in the socket would confirm an old version.
        """
        now = self._clock.monotonic()
        if self._is_confirmed(now):
            self._confirmed_at = now
        else:
            self._wake.set()
        if version > self.version:
            self._note_higher(version, instance)
            self._wake.set()

    def _note_higher(self, version, instance=None):
        if self._behind_since is None:
            self._behind_since = self._clock.monotonic()
        if version >= self._heard:
            self._heard = version
            self._heard_from = instance

    def run(self):
        """Follows the configuration until killed."""
        while True:
            self.step()
            self._wake.wait(POLL_S * self._rng.uniform(0.8, 1.0))
            self._wake.clear()

    def step(self):
        """Asks the platform once, and peers if that wasn't enough."""
        answered = self.refresh()
        if not answered or self._behind_since is not None:
            self.refresh_from_peers()

    def refresh(self):
        """Asks the platform once; returns whether it answered."""
        asked_at = self._clock.monotonic()
        found = self._table.read(ROW_KEY)
        if found.is_err():
            return False
        row = found.unwrap()
        if row is None:
            self._confirmed_at = asked_at
            return True
        try:
            pointer = msgspec.convert(row.value, ConfigPointer)
        except msgspec.ValidationError as exc:
            # The row of another release must not end the polling.
            log_event("configuration_unreadable", level="error", detail=str(exc))
            return False
        self._confirmed_at = asked_at
        self._follow(pointer, self._peers())
        return True

    def refresh_from_peers(self):
        """Asks peers for a higher version; returns whether one answered."""
        instances = self._peers()
        asked_at = self._clock.monotonic()
        query = ConfigQuery(self.version)
        jobs = [
            gevent.spawn(self._channel.ask, each, query, ASK_TIMEOUT_S)
            for each in instances
        ]
        gevent.joinall(jobs)
        answers = [(each, job.value) for each, job in zip(instances, jobs) if job.value]
        if not answers:
            return False
        self._confirmed_at = asked_at
        instance, best = max(answers, key=lambda entry: entry[1].version)
        if best.pointer is not None:
            others = [each for each, _ in answers if each != instance]
            self._follow(best.pointer, [instance, *others])
        return True

    def _peers(self):
        """Returns some live peers, the one with the highest version first."""
        if self._channel is None:
            return []
        own = self._membership.own().instance
        live = [each.instance for each in self._membership.live()]
        others = [each for each in live if each not in (own, self._heard_from)]
        self._rng.shuffle(others)
        heard_from = [self._heard_from] if self._heard_from in live else []
        limit = PEERS_PER_POLL if self._loaded else PEERS_AT_START
        return (heard_from + others)[:limit]

    def _follow(self, pointer, peers):
        """Fetches and adopts a version if it is higher."""
        if pointer.version <= self.version:
            return
        self._note_higher(pointer.version, peers[0] if peers else None)
        sources = [self._platform]
        if peers:
            sources.append(PeerObjects(self._channel, peers))
        known = self._loaded.bodies if self._loaded else {}
        loaded = load(pointer, known, sources)
        if loaded is not None:
            self._adopt(loaded)

    def _adopt(self, loaded):
        # A fetch may have been overtaken by that of a higher version.
        if loaded.pointer.version <= self.version:
            return
        self._loaded = loaded
        if self.version >= self._heard:
            self._behind_since = None
        self.adopted.set()
        log_event("configuration_adopted", version=self.version)

    def _answer_query(self, instance, query):
        if self._loaded is None:
            return None
        newer = self.version > query.version
        return ConfigAnswer(self.version, self._loaded.pointer if newer else None)

    def _answer_objects(self, instance, query):
        return answer_objects(query, self._loaded.bodies if self._loaded else {})
