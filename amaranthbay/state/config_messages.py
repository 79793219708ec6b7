"""Messages by which daemons pass the configuration in force to each other."""

from dataclasses import dataclass, field

from amaranthbay.kernel.registry import register
from amaranthbay.state.sections import ConfigPointer

__all__ = ["ConfigAnswer", "ConfigObjects", "ConfigObjectsQuery", "ConfigQuery"]


@register("peer_message", "config_query")
@dataclass(frozen=True)
class ConfigQuery:
    """Asks for a version above the asker's."""

    version: int


@register("peer_message", "config_answer")
@dataclass(frozen=True)
class ConfigAnswer:
    """The version in force at a daemon.

    Attributes:
        version: Version in force; 0 if none.
        pointer: Its pointer, if it is above the asker's version.
    """

    version: int
    pointer: ConfigPointer | None = None


@register("peer_message", "config_objects_query")
@dataclass(frozen=True)
class ConfigObjectsQuery:
    """Asks for the manifest or sections by object name."""

    names: tuple[str, ...]


@register("peer_message", "config_objects")
@dataclass(frozen=True)
class ConfigObjects:
    """Some of the bodies that were asked for; at least one if any is known."""

    bodies: dict[str, bytes] = field(default_factory=dict)
