"""Registry of plug-in classes by kind and name."""

from amaranthbay.kernel.errors import UnknownPlugin

__all__ = ["find", "register", "registered_names"]

_plugins = {}


def register(kind, name):
    """Returns a class decorator that registers a plug-in.

    Args:
        kind: Kind of plug-in, for example ``"placement_policy"``.
        name: Name of the plug-in within its kind.

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
        classes = _plugins.setdefault(kind, {})
        if classes.get(name, cls) is not cls:
            raise ValueError(f"{kind} {name!r} is already registered")
        classes[name] = cls
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
        raise UnknownPlugin(kind, name, registered_names(kind)) from None


def registered_names(kind):
    """Returns the sorted names registered under a kind."""
    return sorted(_plugins.get(kind, {}))
