"""Registry through which plug-ins make themselves known to the kernel."""

from amaranthbay.kernel.errors import UnknownPlugin

__all__ = ["find", "names", "register"]

_plugins = {}


def register(kind, name):
    """Returns a class decorator that registers a plug-in.

    Args:
        kind: Group of plug-ins, for example ``"placement_policy"``.
        name: Name of the plug-in within its group.

    Raises:
        ValueError: If another class already has this name.

    Examples:
        >>> @register("greeting", "plain")
        ... class Plain:
        ...     pass
        >>> find("greeting", "plain") is Plain
        True
    """

    def decorate(cls):
        known = _plugins.setdefault(kind, {})
        if known.get(name, cls) is not cls:
            raise ValueError(f"{kind} {name!r} is already registered")
        known[name] = cls
        return cls

    return decorate


def find(kind, name):
    """Returns the plug-in class registered under a name.

    Raises:
        UnknownPlugin: If no such plug-in is registered.
    """
    try:
        return _plugins[kind][name]
    except KeyError:
        raise UnknownPlugin(kind, name, names(kind)) from None


def names(kind):
    """Returns the sorted names registered under a kind."""
    return sorted(_plugins.get(kind, {}))
