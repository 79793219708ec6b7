"""The routing configuration in force, by its row in the store."""

from amaranthbay.observe import log_event

__all__ = ["ConfigurationView"]


class ConfigurationView:
    """View of the operator's table; see `TableFollower`.

    Attributes:
        table: `RoutingTable` in force; None before the first one.
    """

    def __init__(self, decode, key):
        """Creates the view.

        Args:
            decode: Function of bytes that returns ``Result[RoutingTable, str]``.
            key: Key of the configuration's row.
        """
        self._decode = decode
        self._key = key
        self.table = None

    def replace(self, rows, restored=False):
        """Takes the whole table; an older copy of it changes nothing."""
        self.apply(rows)

    def apply(self, rows):
        """Takes changed rows; a version never goes back."""
        for row in rows:
            if row.key == self._key and row.value is not None:
                self._take(row.value)

    def _take(self, value):
        decoded = self._decode(value)
        if decoded.is_err():
            log_event(
                "configuration_unreadable", level="error", detail=decoded.unwrap_err()
            )
            return
        table = decoded.unwrap()
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        log_event(
            "configuration_in_force", version=table.version, routes=len(table.routes)
        )
