"""Test helpers: collection of test functions, ports, a manual clock, waiting."""

import contextlib
import functools
import random
import socket
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
    "wait_until",
]

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
# Below the range from which the system takes local ports of outgoing connections.
PORT_RANGE = (10_000, 32_000)

# Seeded by the system, so that concurrent test runs choose different ports.
_port_random = random.SystemRandom()
_allocated_ports = set()


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

    The port is never one that the system assigns to outgoing connections, as such a
    connection could take it before the process under test listens.
    """
    while True:
        port = _port_random.randrange(*PORT_RANGE)
        socket_types = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        if port not in _allocated_ports and all(
            _is_free(port, each) for each in socket_types
        ):
            _allocated_ports.add(port)
            return port


def free_port_pair():
    """Returns the first of two adjacent ports that are currently free."""
    while True:
        port = free_port()
        socket_types = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        allocated = port + 1 in _allocated_ports
        if not allocated and all(_is_free(port + 1, each) for each in socket_types):
            _allocated_ports.add(port + 1)
            return port


def _is_free(port, socket_type):
    with socket.socket(socket.AF_INET, socket_type) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


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
