"""The table of entry instances, as the store names them."""

import msgspec
from result import Err

from amaranthbay.fleet.tables import apply_each
from amaranthbay.observe import log_event
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import is_ip_endpoint, is_valid_address

__all__ = ["RegisteredInstances", "Registration", "decode_registration"]


class Registration(msgspec.Struct, frozen=True):
    """Row of one instance in the store.

    Attributes:
        instance: Name of the instance.
        availability_zone: Availability zone of the instance.
        region: Region of the availability zone.
        caller_address: Address to which callers connect.
        peer_address: UDP address at which it receives the reports of other instances.
        cores: Number of its processor cores.
        link_mbps: Rate of its network link in Mbit/s; 0 if unknown.
    """

    instance: str
    availability_zone: str
    region: str
    caller_address: str
    peer_address: str
    cores: float = 1.0
    link_mbps: float = 0.0


def decode_registration(key, body):
    """Decodes the row of an instance; other programs may have written it.

    Args:
        key: Key of the row, which is the name of the instance.
        body: Bytes of the row.

    Returns:
        ``Result[Registration, str]``.
    """
    decoded = decode_json(body, Registration)
    if decoded.is_err():
        return decoded
    registration = decoded.unwrap()
    if registration.instance != key:
        return Err("the row is that of another instance")
    if not is_valid_address(registration.caller_address):
        return Err("the address for callers is not host:port")
    # The resolution of a name blocks the whole process.
    if not is_ip_endpoint(registration.peer_address):
        return Err("the address for reports is not an IP address and a port")
    return decoded


class RegisteredInstances:
    """Instances that the store names, this one included.

    Attributes:
        own: `Registration` of this process.
        is_table_read: Whether the table of instances has been read. Before, this
            process is the only registered instance.
    """

    def __init__(self, own):
        """Creates the table with this process alone.

        Args:
            own: `Registration` of this process.
        """
        self.own = own
        self.is_table_read = False
        self._registered = {own.instance: own}

    def registrations(self):
        """Returns the `Registration` of each instance that the store names."""
        return self._registered.values()

    def replace_all(self, rows, kept=()):
        """Applies the whole table.

        Args:
            rows: Rows of the table.
            kept: Names of instances that stay registered if their rows are gone.
        """
        self._registered = {
            name: registration
            for name, registration in self._registered.items()
            if name in kept
        }
        self._registered[self.own.instance] = self.own
        self.is_table_read = True
        self.apply(rows)

    def apply(self, rows):
        """Applies changed rows."""
        apply_each(rows, self._apply_row)

    def _apply_row(self, row):
        if row.key == self.own.instance:
            return
        if row.value is None:
            self._registered.pop(row.key, None)
            return
        decoded = decode_registration(row.key, row.value)
        if decoded.is_err():
            log_event(
                "registration_unreadable",
                level="warning",
                member=row.key,
                detail=decoded.unwrap_err(),
            )
            return
        registration = decoded.unwrap()
        self._registered[row.key] = registration
        log_event(
            "member_registered", member=row.key, address=registration.caller_address
        )
