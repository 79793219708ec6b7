"""Decides by its key to which workspace a request belongs, and whether it may run.

The configuration in force decides, at the arrival of a request and again before it is
first sent to a backend server.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from result import Err, Ok

from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.workspaces.types import Workspace

__all__ = [
    "NOT_READY_RETRY",
    "AccessControl",
    "CallerAccess",
    "KeysInForce",
    "identify",
]

# An instance reads a new configuration within this time.
NOT_READY_RETRY = timedelta(seconds=0.5)


def identify(keys, credentials, public, is_outdated):
    """Returns the workspace to which a request belongs.

    Args:
        keys: `KeyTable` in force; None if callers need no keys.
        credentials: Keys that the request carries, in bytes.
        public: Whether its route needs no key.
        is_outdated: Function that returns whether a newer configuration is known to be
            in force, which may have a key that is unknown here.

    Returns:
        ``Result[Workspace | None, Refusal]``; None if the request needs no key and has
        no known one.

    Examples:
        >>> from amaranthbay.workspaces import KeyTable
        >>> keys = KeyTable([(Workspace("a"), ["k1", "k2"])])
        >>> identify(keys, (b"k2",), False, lambda: False).unwrap().name
        'a'
        >>> identify(keys, (b"k1", b"k2"), False, lambda: False).unwrap_err().status
        401
        >>> identify(keys, (b"k3",), False, lambda: True).unwrap_err().status
        503
    """
    if keys is None:
        return Ok(None)
    different = set(credentials)
    workspace = keys.find(different.pop()) if len(different) == 1 else None
    if workspace is not None or public:
        return Ok(workspace)
    if not credentials:
        return Err(_unauthenticated("the request has no key"))
    if len(set(credentials)) > 1:
        return Err(_unauthenticated("the request has several keys"))
    if is_outdated():
        detail = "the key is unknown, and a newer configuration is in force elsewhere"
        return Err(not_run(Reason.NOT_READY, detail, 503, NOT_READY_RETRY))
    return Err(_unauthenticated("the key is unknown"))


def _unauthenticated(detail):
    return not_run(Reason.UNAUTHENTICATED, detail, 401)


class KeysInForce:
    """The keys of the configuration in force of the product's own interface."""

    def __init__(self, read_configuration):
        """Creates the view.

        Args:
            read_configuration: Function that returns the `config.Configuration` in
                force; it is called only while there is one.
        """
        self._read_configuration = read_configuration

    @property
    def table(self):
        """`config.workspaces.WorkspaceKeys` in force."""
        return self._read_configuration().workspace_keys


class AccessControl:
    """Admits the callers that the configuration in force allows."""

    def __init__(self, configuration, newest_version):
        """Creates the access control.

        Args:
            configuration: `ConfigurationView` with the table in force, or
                `KeysInForce`.
            newest_version: Function that returns the highest version of a configuration
                that is known to be in force at an instance.
        """
        self._configuration = configuration
        self._newest_version = newest_version

    @property
    def table(self):
        """`RoutingTable` in force."""
        return self._configuration.table

    def admit(self, public, credentials, is_public=lambda table: None):
        """Returns the ``Result[CallerAccess, Refusal]`` of a request that arrives.

        Args:
            public: Whether its route needs no key.
            credentials: Keys that the request carries, in bytes.
            is_public: Function of a later `RoutingTable` that returns whether the
                request's route in it needs no key; None if it has no such route.
        """
        table = self.table
        return self.identify(public, credentials).map(
            lambda workspace: CallerAccess(
                self,
                workspace,
                public,
                credentials,
                table.version,
                table.workspaces is not None,
                is_public,
            )
        )

    def identify(self, public, credentials):
        """Returns ``Result[Workspace | None, Refusal]``; see `identify`."""
        table = self.table
        return identify(
            table.workspaces,
            credentials,
            public,
            lambda: self._newest_version() > table.version,
        )


@dataclass(frozen=True)
class CallerAccess:
    """What the caller of one request was admitted as.

    Attributes:
        control: `AccessControl` that admitted it.
        workspace: Its `Workspace`; None if it has none.
        public: Whether its route needs no key.
        credentials: Keys that the request carries; left out of the text form.
        version: Version of the configuration that admitted it.
        uses_keys: Whether that configuration has workspaces.
        is_public: Function of a later `RoutingTable`; see `AccessControl.admit`.
    """

    control: AccessControl
    workspace: Workspace | None
    public: bool
    credentials: tuple[bytes, ...] = field(repr=False)
    version: int
    uses_keys: bool
    is_public: object = field(repr=False)

    def refusal(self):
        """Returns the `Refusal` if the configuration in force no longer admits it.

        A request that has waited may have lost its key. One whose key now belongs to
        another workspace is refused with a time to come back, as its priority and its
        quota are those of the earlier one.
        """
        table = self.control.table
        if table.version == self.version or table.workspaces is None:
            return None
        public = self.is_public(table)
        if public is None:
            # A request that waits doesn't end because its route is removed.
            public = self.public
        found = self.control.identify(public, self.credentials)
        if found.is_err():
            return found.unwrap_err()
        if _name_of(found.unwrap()) == _name_of(self.workspace):
            return None
        detail = "the workspace of the request has changed while it waited"
        return not_run(Reason.NOT_READY, detail, 503, NOT_READY_RETRY)

    def forwarded_name(self):
        """Returns the name of the workspace that backend servers get.

        Returns:
            The name; empty if the request has no workspace; None if there are no keys,
            so that the caller's headers are forwarded as they are.
        """
        if self.uses_keys:
            return _name_of(self.workspace)
        # Keys may have come into use while the request waited.
        return None if self.control.table.workspaces is None else ""


def _name_of(workspace):
    return "" if workspace is None else workspace.name
