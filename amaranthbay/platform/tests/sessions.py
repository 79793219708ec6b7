"""Records the bytes of whole sessions through an entry daemon, for golden files.

Examples:
    >>> # python -m amaranthbay.platform.tests.sessions rewrites the files
"""

import re
from contextlib import ExitStack, contextmanager
from pathlib import Path

import gevent

from amaranthbay.platform.tests.fixtures import (
    call_raw,
    entry_fixture,
    request,
    stream_request,
)
from amaranthbay.platform.tests.soak.links import Link
from amaranthbay.utils.testing import wait_until

__all__ = ["GOLDEN_FOLDER", "SESSIONS", "record_session"]

GOLDEN_FOLDER = Path(__file__).parent / "golden"
# Time for control calls that follow the answer to the caller.
SETTLE_S = 0.3
# Patterns of what differs between runs, with their replacements in the files.
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
    """A link that records the bytes of each direction, in order."""

    def __init__(self, target, name, captured):
        super().__init__(target)
        self._name = name
        self._captured = captured

    def forward(self, data, to_target):
        self._captured.append((self._name, to_target, data))
        return data


def session(function):
    """Registers a session: a function of an `EntryFixture` and the callers' address."""
    SESSIONS[function.__name__] = function
    return function


@contextmanager
def _tapped_fixture():
    """Yields an `EntryFixture`, the callers' address and the list of captured data."""
    captured = []
    with ExitStack() as stack:
        fixture = stack.enter_context(entry_fixture())
        for name, (service, stage) in {
            "desk-1": ("desk", None),
            "pre-1": ("lm", "prefill"),
            "dec-1": ("lm", "decode"),
        }.items():
            tap = Tap(fixture.addresses[name], name, captured)
            stack.callback(tap.close)
            fixture.write_entry(name, service, stage, address=tap.address)
            wait_until(
                lambda: tap.address
                in [
                    server.address for server in fixture.daemon.backends.usable(service)
                ]
            )
        callers = Tap(fixture.address, "daemon", captured)
        stack.callback(callers.close)
        yield fixture, callers.address, captured


def record_session(name):
    """Runs a session and returns its text, as the golden file has it."""
    with _tapped_fixture() as (fixture, address, captured):
        SESSIONS[name](fixture, address)
        gevent.sleep(SETTLE_S)
        parts = _join_by_direction(list(captured))
    text = b"".join(
        b"=== %s %s\n%s\n"
        % (b"to" if to_target else b"from", name.encode(), _mask_volatile(data))
        for name, to_target, data in parts
    )
    return text.decode().replace("\r\n", "\n")


def _join_by_direction(captured):
    """Joins the bytes of each tap and direction, in the order of their first bytes.

    How the parts of a stream interleave between taps varies from run to run.
    """
    joined = {}
    for name, to_target, data in captured:
        joined[name, to_target] = joined.get((name, to_target), b"") + data
    return [(*key, data) for key, data in joined.items()]


def _mask_volatile(data):
    for pattern, replacement in VOLATILE:
        data = re.sub(pattern, replacement, data)
    return data


@session
def plain_call(fixture, address):
    headers = (("X-Deadline-Ms", "900"), ("X-Custom", "kept"), ("Connection", "close"))
    call_raw(address, request("/pay/a%20b?q=1", "POST", b"body", headers))


@session
def refused_call(fixture, address):
    call_raw(address, request("/nowhere/x"))


@session
def resumable_stream(fixture, address):
    headers = (("X-Deadline-Ms", "900"), ("X-Length-Hint", "12"))
    call_raw(address, stream_request("/resume/x", headers=headers))


@session
def stream_that_nobody_takes(fixture, address):
    decode = fixture.servers["dec-1"]
    decode.replies.append(
        lambda req: decode.refusal(503),
    )
    call_raw(address, stream_request("/sum/x"))


@session
def server_that_leaves(fixture, address):
    fixture.servers["desk-1"].leaving = True
    call_raw(address, request("/pay/x", "POST", b"body"))
    wait_until(lambda: not fixture.daemon.backends.usable("desk"))
    call_raw(address, request("/pay/y", "POST", b"body", attempt="a2"))


@session
def server_that_asks_for_a_pause(fixture, address):
    server = fixture.servers["desk-1"]
    server.replies.append(server.refusal(retry_after="30"))
    call_raw(address, request("/pay/x", "POST", b"body"))
    call_raw(address, request("/pay/y", "POST", b"body", attempt="a2"))


@session
def server_that_names_a_limit(fixture, address):
    # The shared time stands still, so that no slot of the limit begins.
    fixture.daemon.ctx.limits._store_now = lambda: 1000.0
    fixture.servers["desk-1"].limit = 0.1
    call_raw(address, request("/pay/x", "POST", b"body"))
    call_raw(address, request("/pay/y", "POST", b"body", attempt="a2"))


def write():
    """Writes the golden files of all sessions."""
    GOLDEN_FOLDER.mkdir(exist_ok=True)
    for name in SESSIONS:
        (GOLDEN_FOLDER / f"{name}.txt").write_text(record_session(name))


if __name__ == "__main__":
    write()
