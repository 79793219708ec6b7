"""The configuration in force at a daemon, followed from the platform and peers."""

import random

import gevent
import gevent.event
import msgspec

from amaranthbay.observe import log_event
from amaranthbay.state.accept import CONFIG_ROW_KEY, AcceptOutcome, accept_configuration
from amaranthbay.state.config_fetch import (
    ASK_TIMEOUT_S,
    PeerObjects,
    PlatformObjects,
    load_configuration,
    objects_reply,
)
from amaranthbay.state.config_messages import (
    ConfigAnswer,
    ConfigObjectsQuery,
    ConfigQuery,
)
from amaranthbay.state.sections import ConfigPointer

__all__ = ["AcceptOutcome", "ConfigPointer", "ConfigStore", "accept_configuration"]

POLL_INTERVAL_S = 2.0
CONFIRMATION_TTL_S = 5.0
# Numbers of peers that are asked at once, before and after the first adoption.
PEERS_AT_START = 16
PEERS_PER_POLL = 3


class ConfigStore:
    """Holds the configuration with the highest version that this daemon adopted.

    An answer of the platform or of a peer that this daemon asked confirms the
    configuration for `CONFIRMATION_TTL_S`.

    Attributes:
        adopted: Event that is set once a configuration has been adopted.
    """

    def __init__(self, table, objects, clock, membership=None, channel=None, rng=None):
        """Creates a store without a configuration.

        Args:
            table: `TableService` that holds the pointer row.
            objects: `ObjectStore` that holds manifests and sections.
            clock: `Clock`.
            membership: `Membership`, or None without peers.
            channel: `PeerChannel`, or None without peers.
            rng: `random.Random` that picks peers and poll intervals; None creates
                one.
        """
        self._table = table
        self._platform = PlatformObjects(objects)
        self._clock = clock
        self._membership = membership
        self._channel = channel
        self._rng = rng or random.Random()
        self._loaded = None
        self._confirmed_at = None
        # Highest version known to exist, and a peer that has it, if there is one.
        self._newest_version = 0
        self._newest_peer = None
        self._behind_since = None
        self._wake = gevent.event.Event()
        self.adopted = gevent.event.Event()
        if channel is not None:
            channel.register_handler(ConfigQuery, self._answer_query)
            channel.register_handler(ConfigObjectsQuery, self._answer_objects_query)

    @property
    def current(self):
        """`Configuration` in force, or None."""
        return self._loaded.configuration if self._loaded else None

    @property
    def version(self):
        """Version in force; 0 if none."""
        return self._loaded.pointer.version if self._loaded else 0

    @property
    def newest_version(self):
        """Highest version that this daemon knows to be in force anywhere."""
        return max(self.version, self._newest_version)

    def unconfirmed_reason(self):
        """Returns why the configuration may be out of date, or None if it isn't.

        A daemon that gets a reason must refuse new work.
        """
        now = self._clock.monotonic()
        if not self._is_confirmed(now):
            return "the daemon reaches neither the platform nor another daemon"
        if self._behind_since is not None and (
            now - self._behind_since > CONFIRMATION_TTL_S
        ):
            return "the daemon can't fetch the configuration in force"
        return None

    def _is_confirmed(self, now):
        confirmed_at = self._confirmed_at
        return confirmed_at is not None and now - confirmed_at <= CONFIRMATION_TTL_S

    def note_peer_version(self, version, instance):
        """Handles a message that tells which version another daemon has in force.

        Such a message, which this daemon didn't ask for, only extends a confirmation
        that is still valid. After a pause, old messages that waited in the socket
        would otherwise confirm an old version.
        """
        now = self._clock.monotonic()
        if self._is_confirmed(now):
            self._confirmed_at = now
        else:
            self._wake.set()
        if version > self.version:
            self._note_newer_version(version, instance)
            self._wake.set()

    def _note_newer_version(self, version, instance=None):
        """Records that a version above the one in force exists."""
        if self._behind_since is None:
            self._behind_since = self._clock.monotonic()
        if version >= self._newest_version:
            self._newest_version = version
            self._newest_peer = instance

    def run(self):
        """Polls for a new configuration until killed."""
        while True:
            self.step()
            self._wake.wait(POLL_INTERVAL_S * self._rng.uniform(0.8, 1.0))
            self._wake.clear()

    def step(self):
        """Asks the platform; asks peers if it failed or a newer version is missing."""
        answered = self.refresh()
        if not answered or self._behind_since is not None:
            self.refresh_from_peers()

    def refresh(self):
        """Asks the platform once; returns whether its answer could be read."""
        asked_at = self._clock.monotonic()
        reply = self._table.read(CONFIG_ROW_KEY)
        if reply.is_err():
            return False
        row = reply.unwrap()
        if row is None:
            self._confirmed_at = asked_at
            return True
        try:
            pointer = msgspec.convert(row.value, ConfigPointer)
        except msgspec.ValidationError as exc:
            # The polling must go on if another release has written the row.
            log_event("configuration_unreadable", level="error", detail=str(exc))
            return False
        self._confirmed_at = asked_at
        self._load_and_adopt(pointer, self._select_peers())
        return True

    def refresh_from_peers(self):
        """Asks peers for a higher version; returns whether one answered."""
        instances = self._select_peers()
        asked_at = self._clock.monotonic()
        query = ConfigQuery(self.version)
        jobs = [
            gevent.spawn(self._channel.ask, instance, query, ASK_TIMEOUT_S)
            for instance in instances
        ]
        gevent.joinall(jobs)
        answers = [
            (instance, job.value) for instance, job in zip(instances, jobs) if job.value
        ]
        if not answers:
            return False
        self._confirmed_at = asked_at
        newest_peer, newest = max(answers, key=lambda entry: entry[1].version)
        if newest.pointer is not None:
            others = [instance for instance, _ in answers if instance != newest_peer]
            self._load_and_adopt(newest.pointer, [newest_peer, *others])
        return True

    def _select_peers(self):
        """Returns some live peers, first the one known to have the newest version."""
        if self._channel is None:
            return []
        own = self._membership.own().instance
        live = [member.instance for member in self._membership.live()]
        others = [peer for peer in live if peer not in (own, self._newest_peer)]
        self._rng.shuffle(others)
        first = [self._newest_peer] if self._newest_peer in live else []
        limit = PEERS_PER_POLL if self._loaded else PEERS_AT_START
        return (first + others)[:limit]

    def _load_and_adopt(self, pointer, peers):
        """Fetches and adopts a version if it is above the one in force."""
        if pointer.version <= self.version:
            return
        self._note_newer_version(pointer.version, peers[0] if peers else None)
        sources = [self._platform]
        if peers:
            sources.append(PeerObjects(self._channel, peers))
        cached = self._loaded.bodies if self._loaded else {}
        loaded = load_configuration(pointer, cached, sources)
        if loaded is not None:
            self._adopt(loaded)

    def _adopt(self, loaded):
        # A higher version may have been adopted during the fetch.
        if loaded.pointer.version <= self.version:
            return
        self._loaded = loaded
        if self.version >= self._newest_version:
            self._behind_since = None
        self.adopted.set()
        log_event("configuration_adopted", version=self.version)

    def _answer_query(self, instance, query):
        if self._loaded is None:
            return None
        is_newer = self.version > query.version
        return ConfigAnswer(self.version, self._loaded.pointer if is_newer else None)

    def _answer_objects_query(self, instance, query):
        return objects_reply(query, self._loaded.bodies if self._loaded else {})
