"""Adapter of the entry process to the platform that it runs on."""

from amaranthbay.platform import calls  # noqa: F401  (registers the codec)
from amaranthbay.platform.boot import load_boot_settings
from amaranthbay.platform.document_checks import check_configuration
from amaranthbay.platform.documents import decode_configuration, decode_server
from amaranthbay.platform.lookup import create_lookup_app, create_ready_app
from amaranthbay.platform.rows import RowStore, RowTable

__all__ = ["PlatformAdapter"]


class PlatformAdapter:
    """Table names, decoders and clients of the platform, in one object.

    Attributes:
        codec: Name under which the platform's `CallCodec` is registered.
        configuration_table: Table of the operator's configuration.
        configuration_key: Key of the row with the newest configuration.
        servers_table: Table in which backend servers register.
        instances_table: Table in which the entry instances register.
        leases_table: Table of the leases with their fencing tokens.
        versions_table: Table of the software versions of each service.
        streams_table: Table of the versions at which streams began.
        crashes_table: Table of the crashes that requests have caused.
    """

    codec = "platform"
    configuration_table = "op"
    configuration_key = "config"
    servers_table = "servers"
    instances_table = "members"
    leases_table = "leases"
    versions_table = "versions"
    streams_table = "streams"
    crashes_table = "crashes"

    load_settings = staticmethod(load_boot_settings)
    check_configuration = staticmethod(check_configuration)
    decode_configuration = staticmethod(decode_configuration)
    decode_server = staticmethod(decode_server)
    create_ready_app = staticmethod(create_ready_app)
    create_lookup_app = staticmethod(create_lookup_app)

    def open_store(
        self, address, store_era=None, on_time=lambda seconds: None, memory=None
    ):
        """Returns a `TableSource` that reads the store at an address.

        Args:
            address: Host and port of the store.
            store_era: `StoreEra` that observes the era of each answer; a new one if
                None.
            on_time: Function that is called with the store's steady clock in seconds
                as each answer names it.
            memory: `ReadMemory` of the answers; one of the default size if None.
        """
        return RowStore(address, store_era, on_time, memory)

    def open_table(self, store, name):
        """Returns a `TableService` for a table that the entry instances write."""
        return RowTable(store, name)
