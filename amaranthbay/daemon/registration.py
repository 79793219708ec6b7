"""Writes this instance's row in the store, by which other instances find it."""

import gevent.event
import msgspec

from amaranthbay.fleet import Registration
from amaranthbay.observe import log_event
from amaranthbay.platform.types import CommitState

__all__ = ["RegistrationWriter", "create_registration"]

RETRY_DELAY_S = 0.5
# Longest random delay before an instance rewrites its row after a restore of the store.
# At the target size, this makes 160 writes a second; the largest store takes 3,200.
MAX_REWRITE_DELAY_S = 2.0


def create_registration(settings):
    """Returns the `Registration` of an instance with the given `EntrySettings`."""
    return Registration(
        settings.instance,
        settings.availability_zone,
        settings.region,
        settings.caller_address,
        f"{settings.ip}:{settings.peer_port}",
        settings.limits.cores,
        settings.limits.link_mbps,
    )


class RegistrationWriter:
    """Writes an instance's row at its start and after each restore of the store."""

    def __init__(self, store, table, registration, era, clock, rng, on_written):
        """Creates the writer; `run` writes.

        Args:
            store: `TableSource` to write to.
            table: Name of the table of instances.
            registration: `Registration` of this instance.
            era: `StoreEra` that tells of restores.
            clock: `Clock`.
            rng: `random.Random` for the jitter of delays.
            on_written: Function that is called without arguments after each write. It
                reads the table: of two instances that start at the same time, at least
                one then finds the other and reports to it.
        """
        self._store = store
        self._table = table
        self._registration = registration
        self._clock = clock
        self._rng = rng
        self._on_written = on_written
        self._restored = gevent.event.Event()
        era.on_restored(self._restored.set)

    def run(self):
        """Writes the row now and after each restore; runs until killed."""
        while True:
            self._write()
            self._on_written()
            self._restored.wait()
            self._restored.clear()
            # All instances notice a restore at about the same time.
            self._clock.sleep(self._rng.uniform(0.0, MAX_REWRITE_DELAY_S))

    def _write(self):
        row = msgspec.json.encode(self._registration)
        state = CommitState.UNKNOWN
        while state is not CommitState.DONE:
            state = self._store.put(self._table, self._registration.instance, row)
            log_event("member_row_written", state=state)
            if state is not CommitState.DONE:
                self._clock.sleep(RETRY_DELAY_S * self._rng.uniform(0.5, 1.5))
