"""Collects test functions for unittest and holds fixtures shared by packages."""

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

WAIT_BOUND_S = 20.0
POLL_S = 0.01
PORT_RANGE = (10_000, 32_000)

# Seeded by the system, so that test runs side by side choose different ports.
_ports = random.SystemRandom()
_given_ports = set()


class FunctionTest(unittest.FunctionTestCase):
    """One test function; receives the test case as its only argument."""

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
    """Returns a ``load_tests`` hook for the ``test_`` functions of a module."""

    def load_tests(loader, standard_tests, pattern):
        names = [name for name in namespace if name.startswith("test_")]
        functions = [namespace[name] for name in names]
        own = [
            function
            for function in functions
            if getattr(function, "__module__", None) == namespace["__name__"]
        ]
        return unittest.TestSuite(FunctionTest(function) for function in own)

    return load_tests


class ManualClock(Clock):
    """Clock that moves only when a test advances it."""

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
        """Moves the clock forward."""
        self._elapsed_s += seconds


def free_port():
    """Returns a loopback port that was free for TCP and UDP a moment ago.

    The ports lie below the range from which the system takes the local ports of
    outgoing connections, since such a connection could take the port before the
    process that it is meant for listens.
    """
    while True:
        port = _ports.randrange(*PORT_RANGE)
        kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        if port not in _given_ports and all(_is_free(port, each) for each in kinds):
            _given_ports.add(port)
            return port


def free_port_pair():
    """Returns the first of two neighbouring ports that were free a moment ago."""
    while True:
        port = free_port()
        kinds = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        taken = port + 1 in _given_ports
        if not taken and all(_is_free(port + 1, each) for each in kinds):
            _given_ports.add(port + 1)
            return port


def _is_free(port, kind):
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_until(condition, bound_s=WAIT_BOUND_S):
    """Waits for a condition and returns its value; raises TimeoutError."""
    end = time.monotonic() + bound_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        gevent.sleep(POLL_S)
    raise TimeoutError("condition did not hold within the bound")


@contextlib.contextmanager
def greenlet(function, *args):
    """Runs a function in a greenlet and ends it on exit."""
    job = gevent.spawn(function, *args)
    try:
        yield job
    finally:
        job.kill()
