"""Backend servers that leave or have left, whatever a restored list shows."""

from dataclasses import dataclass

from amaranthbay.observe import log_event
from amaranthbay.routing import EntryRevision

__all__ = ["Departures"]

# Time for which a departure is remembered. A restored store shows the list of some
# seconds ago, and a server serves for many seconds after it has begun to leave.
MEMORY_S = 120.0
# Time for which other instances are told. What they learn late must not come back here
# after it was forgotten.
TOLD_S = 60.0


@dataclass(frozen=True)
class _Departure:
    """The last that is known of a server that leaves.

    Attributes:
        revision: `EntryRevision` of its entry at that time.
        at: Monotonic time.
    """

    revision: EntryRevision
    at: float


class Departures:
    """Servers that have said in an answer, or by their entry, that they leave.

    A departure belongs to one process: a server that starts again under its name may
    get work.
    """

    def __init__(self, clock):
        self._clock = clock
        self._announced = {}
        self._listed = {}

    def announce(self, name, revision):
        """Notes that a server's answers say that it leaves.

        Args:
            name: Name of the server.
            revision: `EntryRevision` of its entry, as far as it is known.

        Returns:
            Whether that is new.
        """
        known = self._announced.get(name)
        if known is not None and revision.started_ms <= known.revision.started_ms:
            return False
        self._announced[name] = _Departure(revision, self._clock.monotonic())
        log_event("backend_leaving", level="warning", backend_server=name)
        return True

    def announced_at(self, server):
        """Returns when a server's answers first said that it leaves, or None.

        Args:
            server: `BackendServer` as its newest entry shows it.
        """
        known = self._announced.get(server.name)
        if known is None or server.revision.started_ms > known.revision.started_ms:
            return None
        return known.at

    def announced(self):
        """Returns the start in Unix milliseconds by server that says it leaves.

        Those that said so long ago are left out; the others know them.
        """
        oldest = self._clock.monotonic() - TOLD_S
        return {
            name: each.revision.started_ms
            for name, each in self._announced.items()
            if each.at >= oldest
        }

    def note_listed(self, server):
        """Notes a server whose entry drains or is gone."""
        self._listed[server.name] = _Departure(server.revision, self._clock.monotonic())

    def note_returned(self, name):
        """Notes that a server's entry shows it as ready after all."""
        self._listed.pop(name, None)

    def is_outdated(self, server):
        """Returns whether a ready entry is no newer than the end that was seen."""
        known = self._listed.get(server.name)
        return known is not None and server.revision <= known.revision

    def sweep(self):
        """Forgets servers that must have left long ago."""
        oldest = self._clock.monotonic() - MEMORY_S
        for known in (self._announced, self._listed):
            for name in [name for name, each in known.items() if each.at < oldest]:
                del known[name]
