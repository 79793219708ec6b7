"""Messages by which daemons share the configuration in force with each other."""

from dataclasses import dataclass, field

from amaranthbay.kernel.registry import register
from amaranthbay.state.sections import ConfigPointer

__all__ = ["ConfigAnswer", "ConfigObjects", "ConfigObjectsQuery", "ConfigQuery"]


@register("peer_message", "config_query")
@dataclass(frozen=True)
class ConfigQuery:
    """Asks a daemon which version it has in force.

    Attributes:
        version: Version in force at the sender; 0 if none.
    """

    version: int


@register("peer_message", "config_answer")
@dataclass(frozen=True)
class ConfigAnswer:
    """Reply to a `ConfigQuery`.

    Attributes:
        version: Version in force at the daemon that replies.
        pointer: Pointer to that version if it is above the one in the query.
    """

    version: int
    pointer: ConfigPointer | None = None


@register("peer_message", "config_objects_query")
@dataclass(frozen=True)
class ConfigObjectsQuery:
    """Asks for manifests and sections by object name."""

    names: tuple[str, ...]


@register("peer_message", "config_objects")
@dataclass(frozen=True)
class ConfigObjects:
    """Reply to a `ConfigObjectsQuery`.

    Attributes:
        bodies: Bodies by object name, as many as fit into a message; empty if the
            daemon has none of the objects.
    """

    bodies: dict[str, bytes] = field(default_factory=dict)
