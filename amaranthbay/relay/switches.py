"""Model servers that are on their way into another pool.

A server that switches finishes what it runs and refuses everything else for seconds,
while the list shows it in its old pool. Each prompt that is computed for it is computed
in vain, so that a refusal which memory doesn't explain is looked into: by one question
of one instance, whose finding the others hear at once.
"""

from dataclasses import dataclass

import gevent

from amaranthbay.observe import log_event
from amaranthbay.relay.exchange import control_exchange
from amaranthbay.routing import Stage

__all__ = ["SwitchRecord", "inspect_refusal"]

# Time beyond a switch in which the list of servers shows its result.
LIST_LAG_S = 3.0
# The report of a server is some hundred milliseconds old, and each question is paid
# for, so that a server is asked at most this often.
INSPECT_PAUSE_S = 1.0
CALL_TIMEOUT_S = 0.5
OTHER_STAGE = {Stage.PREFILL: Stage.DECODE, Stage.DECODE: Stage.PREFILL}


@dataclass(frozen=True)
class _Switch:
    stage: Stage
    ends_at: float


class SwitchRecord:
    """Switches that this instance has ordered or found out."""

    def __init__(self, clock, stage_of, on_found=lambda: None):
        """Creates an empty record.

        Args:
            clock: `Clock`.
            stage_of: Function of a server's name that returns the `Stage` in which it
                is listed.
            on_found: Function that is called when a switch is new.
        """
        self._clock = clock
        self._stage_of = stage_of
        self._on_found = on_found
        self._switches = {}
        self._asked_at = {}

    def note(self, name, stage, switch_s):
        """Notes a server that switches.

        Args:
            name: Name of the server.
            stage: `Stage` that it will serve.
            switch_s: Seconds that a switch takes.
        """
        self._switches[name] = _Switch(stage, self._clock.monotonic() + switch_s)
        self._on_found()

    def current(self):
        """Returns the stage of each server that is on its way into another pool.

        One whose switch should be over counts for some time more, until it is listed
        in its new pool.
        """
        now = self._clock.monotonic()
        for name, switch in tuple(self._switches.items()):
            listed = self._stage_of(name) is switch.stage
            if now >= switch.ends_at + (0.0 if listed else LIST_LAG_S):
                del self._switches[name]
        return {name: each.stage.value for name, each in self._switches.items()}

    def may_ask(self, name):
        """Returns whether a server may be asked again, and counts the question."""
        now = self._clock.monotonic()
        if now - self._asked_at.get(name, -INSPECT_PAUSE_S) < INSPECT_PAUSE_S:
            return False
        self._asked_at[name] = now
        return True

    def sweep(self):
        """Forgets questions that no longer count."""
        oldest = self._clock.monotonic() - INSPECT_PAUSE_S
        self._asked_at = {
            name: at for name, at in self._asked_at.items() if at >= oldest
        }


def inspect_refusal(ctx, server, engine):
    """Asks a server that refuses without need whether it switches; doesn't wait.

    Args:
        ctx: `RelayContext`.
        server: `BackendServer`.
        engine: `Engine` of its service.
    """
    if engine.stage_switch_s > 0 and ctx.switches.may_ask(server.name):
        gevent.spawn(_ask_if_switching, ctx, server, engine)


def _ask_if_switching(ctx, server, engine):
    method, path = ctx.codec.report_request()
    expected = (ctx.codec.expect_server(server.name),)
    answer = control_exchange(
        ctx.connections, ctx.codec, server, method, path, b"", CALL_TIMEOUT_S, expected
    )
    found = answer.and_then(lambda each: ctx.codec.read_report(each[1]))
    switching = found.is_ok() and found.unwrap().switching
    log_event(
        "refusal_inspected",
        backend_server=server.name,
        switching=switching,
        detail=found.err(),
    )
    if switching:
        target = OTHER_STAGE[server.stage]
        ctx.switches.note(server.name, target, engine.stage_switch_s)
