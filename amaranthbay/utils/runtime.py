"""Event loop selection, monkey patching and signals during process start."""

import gc
import signal
from contextlib import contextmanager
from importlib import metadata

__all__ = [
    "UNUSED_BY_ENTRY",
    "check_event_loop",
    "ignore_early_reload",
    "no_entry_points",
    "pause_collection",
    "resume_collection",
    "select_event_loop",
]

# Commands that reload their settings on SIGHUP.
RELOADING_COMMANDS = frozenset(("daemon", "entry"))

# gevent's libuv loop may use io_uring, which the instances forbid.
REQUIRED_LOOP = "libev-cext"
REQUIRED_BACKEND = "epoll"
# All addresses are IP addresses, which the C library parses without blocking. The
# default resolver would start a thread pool for them.
RESOLVER = "block"


# Modules that an entry process leaves unpatched: it starts no processes, opens no TLS
# connections and resolves no names.
UNUSED_BY_ENTRY = ("dns", "os", "ssl", "subprocess", "sys", "signal", "queue")


def select_event_loop(unpatched=()):
    """Selects libev with epoll and monkey-patches blocking modules.

    Must run before any module that imports ``socket`` or ``threading``.

    Args:
        unpatched: Names of modules to leave unpatched, such as `UNUSED_BY_ENTRY`.
    """
    import gevent

    gevent.config.loop = [REQUIRED_LOOP]
    gevent.config.libev_backend = REQUIRED_BACKEND
    gevent.config.resolver = RESOLVER
    from gevent import monkey

    monkey.patch_all(**dict.fromkeys(unpatched, False))


@contextmanager
def no_entry_points():
    """Hides the entry points of installed packages.

    For each module that it patches, gevent reads the metadata of all installed packages
    twice, to find plug-ins. None is installed, and the search takes a sixth of the
    processor time in which an entry process starts.
    """
    saved = metadata.entry_points
    metadata.entry_points = lambda **params: metadata.EntryPoints()
    try:
        yield
    finally:
        metadata.entry_points = saved


def pause_collection():
    """Stops the garbage collector while the modules of the program are imported.

    An import creates many objects and hardly any garbage.
    """
    gc.disable()


def resume_collection():
    """Starts the garbage collector; it leaves out the objects that exist already.

    Imported modules live as long as the process.
    """
    gc.freeze()
    gc.enable()


def ignore_early_reload(arguments):
    """Ignores SIGHUP until the process installs its handler.

    Without a handler, the signal would end the process. Ignoring it loses no reload,
    because the process has yet to read its settings.

    Args:
        arguments: Command line of the process, beginning with the program name.
    """
    if RELOADING_COMMANDS.intersection(arguments[1:2]):
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def check_event_loop():
    """Checks that the running event loop is libev on epoll.

    Raises:
        RuntimeError: If it is not.
    """
    import gevent

    loop = gevent.get_hub().loop
    backend = getattr(loop, "backend", None)
    if "libev" not in type(loop).__module__ or backend != REQUIRED_BACKEND:
        raise RuntimeError(
            f"event loop {type(loop).__module__} with backend {backend} is not"
            f" allowed; need {REQUIRED_LOOP} with {REQUIRED_BACKEND}"
        )
