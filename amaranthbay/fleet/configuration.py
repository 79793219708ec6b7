"""The routing configuration in force, as read from its row in the store."""

from amaranthbay.fleet.tables import apply_each
from amaranthbay.observe import log_event

__all__ = ["ConfigurationView"]


class ConfigurationView:
    """View of the table that holds the operator's configuration; see `TableFollower`.

    Attributes:
        table: `RoutingTable` in force; None until one has been read.
    """

    def __init__(self, decode, key):
        """Creates the view.

        Args:
            decode: Function of the bytes of the row that returns
                ``Result[RoutingTable, str]``.
            key: Key of the row that holds the configuration.
        """
        self._decode = decode
        self._key = key
        self.table = None

    def replace(self, rows, restored=False):
        """Applies the whole table; an older configuration in it is ignored."""
        self.apply(rows)

    def apply(self, rows):
        """Applies changed rows; the version in force never decreases."""
        apply_each(rows, self._apply_row)

    def _apply_row(self, row):
        if row.key == self._key and row.value is not None:
            self._adopt(row.value)

    def _adopt(self, value):
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
            "configuration_in_force",
            version=table.version,
            routes=len(table.routes),
            idle_timeout_s=table.limits.idle_timeout_s,
        )
