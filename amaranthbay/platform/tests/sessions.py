"""Whole sessions of an entry daemon on the wire, as they are compared with files.

Examples:
    >>> # python -m amaranthbay.platform.tests.sessions writes the files anew
"""

import re
from contextlib import ExitStack, contextmanager
from pathlib import Path

import gevent

from amaranthbay.platform.tests.fleet import (
    call_raw,
    request,
    small_fleet,
    stream_request,
)
from amaranthbay.platform.tests.soak.links import Link
from amaranthbay.utils.testing import wait_until

__all__ = ["FOLDER", "SESSIONS", "record"]

FOLDER = Path(__file__).parent / "golden"
SETTLE_S = 0.3
# What differs between runs, and what stands in the files instead.
VOLATILE = (
    (rb"127\.0\.0\.1:\d+", b"127.0.0.1:PORT"),
    (rb"(X-Deadline-Ms: |x-deadline-ms: )\d+", rb"\1MS"),
    (rb"(?i)(retry-after: )[\d.]+", rb"\1SECONDS"),
    (rb"(?i)(date: )[^\r]+", rb"\1DATE"),
    (rb"after=\d+", b"after=VERSION"),
    (rb'"Ver":\d+', b'"Ver":VERSION'),
)
SESSIONS = {}


class Tap(Link):
    """A link that notes the bytes of each direction, in order."""

    def __init__(self, target, name, seen):
        super().__init__(target)
        self._name = name
        self._seen = seen

    def pass_on(self, data, towards_target):
        self._seen.append((self._name, towards_target, data))
        return data


def session(function):
    """Registers a session: a function of a fleet and its callers' address."""
    SESSIONS[function.__name__] = function
    return function


@contextmanager
def _tapped():
    """Yields a fleet, the callers' address and what passes the taps."""
    seen = []
    with ExitStack() as stack:
        fleet = stack.enter_context(small_fleet())
        for name, (service, stage) in {
            "desk-1": ("desk", None),
            "pre-1": ("lm", "prefill"),
            "dec-1": ("lm", "decode"),
        }.items():
            tap = Tap(fleet.addresses[name], name, seen)
            stack.callback(tap.close)
            fleet.entry(name, service, stage, address=tap.address)
            wait_until(
                lambda: tap.address
                in [each.address for each in fleet.daemon.backends.usable(service)]
            )
        callers = Tap(fleet.address, "daemon", seen)
        stack.callback(callers.close)
        yield fleet, callers.address, seen


def record(name):
    """Plays a session and returns its text."""
    with _tapped() as (fleet, address, seen):
        SESSIONS[name](fleet, address)
        gevent.sleep(SETTLE_S)
        parts = _joined(list(seen))
    text = b"".join(
        b"=== %s %s\n%s\n"
        % (b"to" if towards else b"from", place.encode(), _steady(data))
        for place, towards, data in parts
    )
    return text.decode().replace("\r\n", "\n")


def _joined(seen):
    """Joins the bytes of each place and direction, in order of their first one.

    How pieces of a stream interleave on its way is chance.
    """
    joined = {}
    for place, towards, data in seen:
        joined[place, towards] = joined.get((place, towards), b"") + data
    return [(*key, data) for key, data in joined.items()]


def _steady(data):
    for pattern, text in VOLATILE:
        data = re.sub(pattern, text, data)
    return data


@session
def plain_call(fleet, address):
    headers = (("X-Deadline-Ms", "900"), ("X-Custom", "kept"), ("Connection", "close"))
    call_raw(address, request("/pay/a%20b?q=1", "POST", b"body", headers))


@session
def refused_call(fleet, address):
    call_raw(address, request("/nowhere/x"))


@session
def resumable_stream(fleet, address):
    headers = (("X-Deadline-Ms", "900"), ("X-Length-Hint", "12"))
    call_raw(address, stream_request("/resume/x", headers=headers))


@session
def stream_that_nobody_takes(fleet, address):
    decode = fleet.workers["dec-1"]
    decode.replies.append(
        lambda req: decode.refuse(503),
    )
    call_raw(address, stream_request("/sum/x"))


@session
def server_that_leaves(fleet, address):
    fleet.workers["desk-1"].leaving = True
    call_raw(address, request("/pay/x", "POST", b"body"))
    wait_until(lambda: not fleet.daemon.backends.usable("desk"))
    call_raw(address, request("/pay/y", "POST", b"body", attempt="a2"))


@session
def server_that_asks_for_a_pause(fleet, address):
    worker = fleet.workers["desk-1"]
    worker.replies.append(worker.refuse(retry_after="30"))
    call_raw(address, request("/pay/x", "POST", b"body"))
    call_raw(address, request("/pay/y", "POST", b"body", attempt="a2"))


def write():
    """Writes the files of all sessions."""
    FOLDER.mkdir(exist_ok=True)
    for name in SESSIONS:
        (FOLDER / f"{name}.txt").write_text(record(name))


if __name__ == "__main__":
    write()
