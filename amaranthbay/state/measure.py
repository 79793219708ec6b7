"""Measures postings per second against the platform's write limit.

Run as ``python -m amaranthbay.state.measure``; prints one JSON line per case.
Each posting costs two rows: its claim and its outcome.
"""

from amaranthbay.utils.runtime import pin_event_loop

pin_event_loop()

import time  # noqa: E402

import gevent  # noqa: E402
import gevent.pool  # noqa: E402
import msgspec  # noqa: E402
import typer  # noqa: E402
import uuid6  # noqa: E402
from result import Ok  # noqa: E402

from amaranthbay.dispatch.types import PlainCall  # noqa: E402
from amaranthbay.kernel.clock import SystemClock  # noqa: E402
from amaranthbay.kernel.requests import CallerRequest  # noqa: E402
from amaranthbay.kernel.retries import new_attempt  # noqa: E402
from amaranthbay.platform.grouping import GroupedTable  # noqa: E402
from amaranthbay.platform.guard import PlatformGuard  # noqa: E402
from amaranthbay.platform.http import HttpTableService  # noqa: E402
from amaranthbay.standins.platform import PlatformState, create_app  # noqa: E402
from amaranthbay.state.idempotency import IdempotencyStore  # noqa: E402
from amaranthbay.state.records import Outcome  # noqa: E402
from amaranthbay.utils.serving import Server  # noqa: E402

__all__ = ["main", "measure"]


def measure(address, grouped, daemons, callers, seconds):
    """Runs postings without a backend server and returns the figures.

    Args:
        address: Address of the platform.
        grouped: Whether writes are grouped into transactions.
        daemons: Daemons that share the write limit; one of them is measured.
        callers: Callers that post one after the other.
        seconds: How long new postings start.
    """
    clock = SystemClock()
    table = HttpTableService(address, PlatformGuard(clock, lambda: daemons))
    store = IdempotencyStore(GroupedTable(table) if grouped else table, clock)
    times_s, refused = [], [0]
    end = time.monotonic() + seconds

    def post():
        while time.monotonic() < end:
            call = PlainCall("POST", "/postings", b"{}")
            key = str(uuid6.uuid7())
            request = CallerRequest("r", "ledger", "ws", "", call, key)
            started = time.monotonic()
            begun = store.begin(request, new_attempt("r", 1))
            if begun.is_err():
                refused[0] += 1
                # Keeps refused callers from filling the processor.
                gevent.sleep(0.05)
                continue
            store.finish(begun.unwrap(), Ok(Outcome(200, b"{}")))
            times_s.append(time.monotonic() - started)

    gevent.joinall([gevent.spawn(post) for _ in range(callers)], raise_error=True)
    times_s.sort()
    median_s = times_s[len(times_s) // 2] if times_s else None
    return {
        "grouped": grouped,
        "daemons": daemons,
        "callers": callers,
        "postings_per_s": round(len(times_s) / seconds, 1),
        "refused": refused[0],
        "unsettled": store.outstanding,
        "median_s": median_s and round(median_s, 4),
    }


def main(
    daemons: int = 1, callers: int = 200, seconds: float = 5.0, grouped: bool = True
):
    """Measures one case with a platform in the same process."""
    state = PlatformState()
    server = Server("127.0.0.1:0", create_app(state))
    figures = measure(server.start(), grouped, daemons, callers, min(seconds, 60.0))
    figures["commits_per_s"] = round(state.counts["commits"] / seconds, 1)
    server.stop()
    print(msgspec.json.encode(figures).decode())


if __name__ == "__main__":
    typer.run(main)
