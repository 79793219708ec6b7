"""Detects model servers that are switching to the other pool.

A switching server finishes its requests and refuses all others for seconds, while the
server list still shows it in its old pool. Each prompt that is computed for it is
wasted. After a refusal that memory doesn't explain, one instance therefore asks the
server for its state and reports a switch to the other instances at once.
"""

from dataclasses import dataclass

import gevent

from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import control_exchange
from amaranthbay.routing import Stage

__all__ = ["SwitchRecord", "inspect_refusal"]

# Time after a switch within which the server list shows the new pool.
LIST_LAG_S = 3.0
# Shortest interval between two queries to a server: its report is some hundred
# milliseconds old, and each query has a cost.
MIN_QUERY_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.5
OTHER_STAGE = {Stage.PREFILL: Stage.DECODE, Stage.DECODE: Stage.PREFILL}


@dataclass(frozen=True)
class _Switch:
    """A switch in progress.

    Attributes:
        stage: `Stage` that the server will serve.
        ends_at: Monotonic time at which the switch should be complete.
    """

    stage: Stage
    ends_at: float


class SwitchRecord:
    """Switches that this instance has ordered or detected."""

    def __init__(self, clock, listed_stage, on_new_switch=lambda: None):
        """Creates an empty record.

        Args:
            clock: `Clock`.
            listed_stage: Function of a server's name that returns its `Stage` in the
                server list.
            on_new_switch: Function without arguments that is called for each new
                switch.
        """
        self._clock = clock
        self._listed_stage = listed_stage
        self._on_new_switch = on_new_switch
        self._switches = {}
        self._queried_at = {}

    def note(self, name, stage, switch_s):
        """Records a server that switches.

        Args:
            name: Name of the server.
            stage: `Stage` that it will serve.
            switch_s: Seconds that the switch takes.
        """
        self._switches[name] = _Switch(stage, self._clock.monotonic() + switch_s)
        self._on_new_switch()

    def switching(self):
        """Returns the target stage of each switching server, by its name.

        After the end of its switch, a server still counts until it is listed in its new
        pool, for `LIST_LAG_S` at most.
        """
        now = self._clock.monotonic()
        for name, switch in tuple(self._switches.items()):
            listed = self._listed_stage(name) is switch.stage
            if now >= switch.ends_at + (0.0 if listed else LIST_LAG_S):
                del self._switches[name]
        return {name: switch.stage.value for name, switch in self._switches.items()}

    def may_query(self, name):
        """Returns whether a server may be queried now, and records the query if so."""
        now = self._clock.monotonic()
        if (
            now - self._queried_at.get(name, -MIN_QUERY_INTERVAL_S)
            < MIN_QUERY_INTERVAL_S
        ):
            return False
        self._queried_at[name] = now
        return True

    def sweep(self):
        """Forgets queries that no longer delay the next one."""
        oldest = self._clock.monotonic() - MIN_QUERY_INTERVAL_S
        self._queried_at = {
            name: queried_at
            for name, queried_at in self._queried_at.items()
            if queried_at >= oldest
        }


def inspect_refusal(ctx, server, engine):
    """Asks a server in the background whether its refusal is due to a switch.

    Args:
        ctx: `RelayContext` of the process.
        server: `BackendServer` that refused although the request should fit.
        engine: `Engine` of its service.
    """
    if engine.stage_switch_s > 0 and ctx.switches.may_query(server.name):
        gevent.spawn(_query_server, ctx, server, engine)


def _query_server(ctx, server, engine):
    method, path = ctx.codec.report_request()
    extra_headers = (ctx.codec.expect_server(server.name),)
    answer = control_exchange(
        ctx.connections,
        ctx.codec,
        server,
        method,
        path,
        b"",
        CALL_TIMEOUT_S,
        extra_headers,
    )
    report = answer.and_then(lambda reply: ctx.codec.read_report(reply[1]))
    switching = report.is_ok() and report.unwrap().switching
    log_event(
        "refusal_inspected",
        backend_server=server.name,
        switching=switching,
        detail=report.err(),
    )
    if switching:
        new_stage = OTHER_STAGE[server.stage]
        ctx.switches.note(server.name, new_stage, engine.stage_switch_s)
