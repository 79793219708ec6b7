"""The users' platform as an entry process needs it: one object of names and calls."""

from amaranthbay.platform import calls  # noqa: F401  (registers the codec)
from amaranthbay.platform.boot import load_boot_settings
from amaranthbay.platform.documents import decode_configuration, decode_server
from amaranthbay.platform.lookup import create_lookup_app, create_ready_app
from amaranthbay.platform.rows import RowStore, RowTable

__all__ = ["PlatformAdapter"]


class PlatformAdapter:
    """Names and calls of the users' platform.

    Attributes:
        codec: Registered name of the `CallCodec`.
        configuration_table: Table of the operator's configuration.
        configuration_key: Row of the newest configuration.
        servers_table: Table in which backend servers register themselves.
        members_table: Table in which the entry instances register themselves.
        leases_table: Table of the leases with fencing numbers.
    """

    codec = "platform"
    configuration_table = "op"
    configuration_key = "config"
    servers_table = "servers"
    members_table = "members"
    leases_table = "leases"

    load_settings = staticmethod(load_boot_settings)
    decode_configuration = staticmethod(decode_configuration)
    decode_server = staticmethod(decode_server)
    create_ready_app = staticmethod(create_ready_app)
    create_lookup_app = staticmethod(create_lookup_app)

    def open_store(self, address, era=None):
        """Returns the `TableSource` at an address.

        Args:
            address: Host and port.
            era: `StoreEra` that is told of the era of each answer.
        """
        return RowStore(address, era)

    def open_table(self, store, name):
        """Returns the `TableService` of one table of our own."""
        return RowTable(store, name)
