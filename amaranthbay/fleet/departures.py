"""Remembers backend servers that leave or have left.

A store that was restored from an older copy may list such a server as ready again.
"""

from dataclasses import dataclass

from amaranthbay.observe import log_event
from amaranthbay.routing import EntryRevision

__all__ = ["Departures"]

# Time for which a departure is remembered. A restored store shows the list of some
# seconds ago, and a server still serves for many seconds after it has begun to leave.
RETENTION_S = 120.0
# Time for which a departure is reported to other instances. It is shorter than the
# retention, so that no instance gets back a departure that it has forgotten.
PUBLISH_S = 60.0


@dataclass(frozen=True)
class _Departure:
    """Departure of one process of a server.

    Attributes:
        revision: `EntryRevision` of its last known entry.
        noted_at: Monotonic time at which the departure was noted.
    """

    revision: EntryRevision
    noted_at: float


class Departures:
    """Servers that announced in an answer that they leave, or whose entry ended.

    A departure belongs to one process of a server: a new process under the same name
    may get work.
    """

    def __init__(self, clock):
        self._clock = clock
        self._announced = {}
        self._ended = {}

    def note_announced(self, name, revision):
        """Notes that a server's answers say that it leaves.

        Args:
            name: Name of the server.
            revision: `EntryRevision` of its entry; the default one if it is unknown.

        Returns:
            Whether the departure was not noted before.
        """
        departure = self._announced.get(name)
        # A later start time means that a new process of the server leaves.
        if (
            departure is not None
            and revision.started_ms <= departure.revision.started_ms
        ):
            return False
        self._announced[name] = _Departure(revision, self._clock.monotonic())
        log_event("backend_leaving", level="warning", backend_server=name)
        return True

    def announced_at(self, server):
        """Returns the monotonic time at which an announced departure was first noted.

        Args:
            server: `BackendServer` of the newest entry.

        Returns:
            The time; None if the process of the entry has announced no departure.
        """
        departure = self._announced.get(server.name)
        if (
            departure is None
            or server.revision.started_ms > departure.revision.started_ms
        ):
            return None
        return departure.noted_at

    def announced(self):
        """Returns the servers that announced that they leave in the last `PUBLISH_S`.

        The other instances know of earlier announcements by then.

        Returns:
            Start of the process in Unix milliseconds, by name of the server.
        """
        oldest = self._clock.monotonic() - PUBLISH_S
        return {
            name: departure.revision.started_ms
            for name, departure in self._announced.items()
            if departure.noted_at >= oldest
        }

    def note_ended(self, server):
        """Notes a server whose entry says that it drains, or was removed."""
        self._ended[server.name] = _Departure(server.revision, self._clock.monotonic())

    def clear_ended(self, name):
        """Forgets the end of a server's entry, as a newer entry shows it as ready."""
        self._ended.pop(name, None)

    def is_outdated(self, server):
        """Returns whether a ready entry is no newer than the last one that ended."""
        departure = self._ended.get(server.name)
        return departure is not None and server.revision <= departure.revision

    def sweep(self):
        """Forgets departures that are older than `RETENTION_S`."""
        oldest = self._clock.monotonic() - RETENTION_S
        for departures in (self._announced, self._ended):
            for name in [
                name
                for name, departure in departures.items()
                if departure.noted_at < oldest
            ]:
                del departures[name]
