"""Test helpers: collection of test functions, ports, a manual clock, waiting."""

import contextlib
import fcntl
import functools
import os
import random
import socket
import tempfile
import time
import unittest
from datetime import datetime, timedelta, timezone

import gevent

from amaranthbay.kernel.clock import Clock

__all__ = [
    "ManualClock",
    "collect",
    "free_port",
    "free_port_pair",
    "greenlet",
    "largest_count",
    "wait_until",
]

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
# Below the range from which the system takes local ports of outgoing connections.
PORT_RANGE = (10_000, 32_000)

# Seeded by the system, so that concurrent test runs choose different ports.
_port_random = random.SystemRandom()
_allocated_ports = set()
# All processes that run tests lock the byte of each port that they have allocated, as a
# port looks free until the process under test listens. A lock ends with its process.
_port_locks_path = os.path.join(
    tempfile.gettempdir(), f"amaranthbay-ports-{os.getuid()}.lock"
)
_port_locks = []


class FunctionTest(unittest.FunctionTestCase):
    """Test case that calls a function with itself as the only argument."""

    def __init__(self, function):
        super().__init__(functools.partial(function, self))
        self.function = function

    def id(self):
        return f"{self.function.__module__}.{self.function.__name__}"

    def __str__(self):
        return self.id()

    def shortDescription(self):
        return None


def collect(namespace):
    """Returns a unittest ``load_tests`` hook for the test functions of a module.

    Args:
        namespace: Globals of the module; functions imported from elsewhere are
            left out.
    """

    def load_tests(loader, standard_tests, pattern):
        names = [name for name in namespace if name.startswith("test_")]
        functions = [namespace[name] for name in names]
        local_functions = [
            function
            for function in functions
            if getattr(function, "__module__", None) == namespace["__name__"]
        ]
        return unittest.TestSuite(
            FunctionTest(function) for function in local_functions
        )

    return load_tests


class ManualClock(Clock):
    """Clock that advances only when a test calls `advance` or `sleep`."""

    def __init__(self, start=datetime(2026, 1, 1, tzinfo=timezone.utc)):
        self._start = start
        self._elapsed_s = 0.0

    def now(self):
        return self._start + timedelta(seconds=self._elapsed_s)

    def monotonic(self):
        return self._elapsed_s

    def sleep(self, seconds):
        self.advance(seconds)
        gevent.sleep(0)

    def advance(self, seconds):
        """Moves the clock forward by some seconds."""
        self._elapsed_s += seconds


def free_port():
    """Returns a loopback port that is currently free for TCP and UDP.

    No other call returns it while this process runs, also in other processes. The port
    is never one that the system assigns to outgoing connections, as such a connection
    could take it before the process under test listens.
    """
    while True:
        port = _port_random.randrange(*PORT_RANGE)
        if _allocate(port):
            return port


def free_port_pair():
    """Returns the first of two adjacent ports that are currently free."""
    while True:
        port = free_port()
        if _allocate(port + 1):
            return port


def _allocate(port):
    """Allocates a port to this process; returns whether that was possible."""
    if port in _allocated_ports or not _lock(port):
        return False
    socket_types = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    if not all(_is_free(port, each) for each in socket_types):
        return False
    _allocated_ports.add(port)
    return True


def _lock(port):
    """Locks a port for this process; returns whether no other process holds it."""
    if not _port_locks:
        _port_locks.append(open(_port_locks_path, "ab"))
    try:
        fcntl.lockf(_port_locks[0], fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True


def _is_free(port, socket_type):
    with socket.socket(socket.AF_INET, socket_type) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def largest_count(times, window_s):
    """Returns the largest number of times within one window.

    Args:
        times: Times in seconds, in any order.
        window_s: Length of a window, which doesn't include its end.

    Examples:
        >>> largest_count([0.0, 1.0, 3.5, 4.5], 3.0)
        2
    """
    return max(
        (sum(0 <= time - start < window_s for time in times) for start in times),
        default=0,
    )


def wait_until(condition, timeout_s=WAIT_TIMEOUT_S):
    """Waits until a condition returns a true value and returns that value.

    Args:
        condition: Function without arguments; called repeatedly.
        timeout_s: Longest wait, in seconds.

    Raises:
        TimeoutError: If the condition doesn't hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        gevent.sleep(POLL_INTERVAL_S)
    raise TimeoutError("condition did not hold within the timeout")


@contextlib.contextmanager
def greenlet(function, *args):
    """Runs a function in a greenlet that is killed when the context exits."""
    running = gevent.spawn(function, *args)
    try:
        yield running
    finally:
        running.kill()
