"""Serves the gateway of one daemon on loopback, with fakes behind it."""

import contextlib
from types import SimpleNamespace

from gevent import socket

from amaranthbay.config.types import CallerKind, CallPattern, Configuration, Service
from amaranthbay.dispatch.tests.fakes import DispatchHarness, FakeEngine
from amaranthbay.gateway import create_app, describe_malformed
from amaranthbay.kernel.errors import Reason, not_run
from amaranthbay.kernel.pipeline import Pipeline
from amaranthbay.peering.keys import KeyRing
from amaranthbay.placement.admission import BoundedAdmission
from amaranthbay.settings.daemon import LimitSettings
from amaranthbay.utils.http import split_address
from amaranthbay.utils.serving import Server

__all__ = ["gateway", "raw_exchange"]


class FakeDaemon:
    """The attributes of a daemon that the gateway uses.

    Attributes:
        refusal: `Refusal` of all new work, or None.
        members: Daemons that each lookup returns.
        newest_version: Highest version of the configuration known at other daemons.
    """

    def __init__(self, harness, limits):
        self.settings = SimpleNamespace(limits=limits, instance="entry-1")
        self.keys = KeyRing(())
        self.clock = harness.ctx.clock
        self.refusal = None
        self.admission = BoundedAdmission(100, harness.ctx.clock)
        self.newest_version = 0
        self.pipeline = Pipeline(
            harness.ctx,
            self.admission,
            lambda: self.refusal,
            lambda: self.newest_version,
        )
        self.members = [
            SimpleNamespace(address="127.0.0.1:1", availability_zone="zone-a")
        ]
        self._harness = harness

    def configuration(self):
        """Returns the configuration in force."""
        return self._harness.ctx.configuration()

    def lookup(self, service, workspace, zone):
        """Returns the daemons in `members`, whatever is asked for."""
        return self.members

    def status(self):
        """Returns the part of the status that the daemon itself provides."""
        return {"instance": "entry-1"}

    def drain(self):
        """Refuses new work from now on."""
        self.refusal = not_run(
            Reason.DRAINING, "the daemon is draining", addresses=("127.0.0.1:2",)
        )


def configuration():
    """Returns a configuration for tests.

    It has a model, a ledger with a non-idempotent call, and one workspace.
    """
    return Configuration(
        7,
        "test",
        (
            Service("m", "model", ("prefill", "decode"), ("desk",)),
            Service(
                "ledger",
                "plain",
                ("ledger",),
                ("desk",),
                (CallPattern("POST", "/postings"),),
            ),
        ),
        (CallerKind("desk", False),),
        (),
        workspaces=("ws-1",),
    )


@contextlib.contextmanager
def gateway(engine=None, limits=None, cfg=None):
    """Serves a gateway.

    Args:
        engine: `FakeEngine`; one whose calls all succeed if None.
        limits: `LimitSettings`; bodies of up to 64 KiB if None.
        cfg: `Configuration` in force; that of `configuration` if None.

    Yields:
        Namespace with ``address``, ``daemon``, ``harness`` and ``server``.
    """
    limits = limits or LimitSettings(body_bytes=65536)
    cfg = cfg or configuration()
    harness = DispatchHarness(engine or FakeEngine(), cfg=cfg)
    daemon = FakeDaemon(harness, limits)
    server = Server(
        "127.0.0.1:0",
        create_app(daemon),
        100,
        limits.header_bytes,
        describe_malformed,
    )
    address = server.start()
    try:
        yield SimpleNamespace(
            address=address, daemon=daemon, harness=harness, server=server
        )
    finally:
        server.stop()


def raw_exchange(address, request, timeout_s=10):
    """Sends bytes and returns all bytes received until the connection ends."""
    with socket.create_connection(split_address(address), timeout_s) as conn:
        conn.sendall(request)
        parts = []
        while True:
            part = conn.recv(65536)
            if not part:
                return b"".join(parts)
            parts.append(part)
