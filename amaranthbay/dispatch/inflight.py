"""Table of the attempts in progress and the backend servers that they use."""

from dataclasses import dataclass, replace

from amaranthbay.kernel.requests import BackendServer

__all__ = ["InFlightRecord", "InFlightTable"]


@dataclass(frozen=True)
class InFlightRecord:
    """One attempt in progress.

    Attributes:
        request_id: Request that the attempt belongs to.
        attempt_id: Id of the attempt.
        servers: Backend servers that may run it or hold memory for it.
        fingerprint: Hash of the request's content.
        suspect: Whether the request is suspected of crashing servers, and is the only
            suspect on these.
        ended: Whether only the cancellation of the attempt is in progress.
    """

    request_id: str
    attempt_id: str
    servers: tuple[BackendServer, ...]
    fingerprint: str = ""
    suspect: bool = False
    ended: bool = False


class InFlightTable:
    """Attempts that this daemon has in progress."""

    def __init__(self):
        self._records = {}

    def add(self, record):
        """Adds an attempt; must run before its first engine call."""
        self._records[record.attempt_id] = record

    def narrow(self, attempt_id, servers):
        """Records that an attempt uses only these servers from now on."""
        record = self._records.get(attempt_id)
        if record is not None:
            self._records[attempt_id] = replace(record, servers=servers)

    def end(self, attempt_id):
        """Marks an attempt as ended; only its cancellation is in progress."""
        record = self._records.get(attempt_id)
        if record is not None:
            self._records[attempt_id] = replace(record, ended=True)

    def active_count(self):
        """Returns the number of attempts that are not being cancelled."""
        return sum(not record.ended for record in self._records.values())

    def remove(self, attempt_id):
        """Removes an attempt that no longer holds memory on servers."""
        self._records.pop(attempt_id, None)

    def records(self):
        """Returns the records in the order in which they were added."""
        return tuple(self._records.values())

    def on_server(self, instance):
        """Returns the records of a backend server, without ended attempts."""
        return tuple(
            record
            for record in self._records.values()
            if not record.ended
            and any(server.instance == instance for server in record.servers)
        )

    def __len__(self):
        return len(self._records)
