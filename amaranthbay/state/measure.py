"""Measures how many postings per second the platform's write limit allows.

Run as ``python -m amaranthbay.state.measure``; prints one JSON line. A posting is a
non-idempotent call; it writes its row twice, first its claim and then its outcome.
"""

from amaranthbay.utils.runtime import select_event_loop

select_event_loop()

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
from amaranthbay.platform.http import HttpTableService  # noqa: E402
from amaranthbay.platform.limiter import PlatformLimiter  # noqa: E402
from amaranthbay.standins.platform import PlatformState, create_app  # noqa: E402
from amaranthbay.state.idempotency import IdempotencyStore  # noqa: E402
from amaranthbay.state.records import Outcome  # noqa: E402
from amaranthbay.utils.serving import Server  # noqa: E402

__all__ = ["main", "measure"]


def measure(address, grouped, daemons, callers, seconds):
    """Records postings without sending them to a backend server.

    Args:
        address: Address of the platform.
        grouped: Whether writes are grouped into transactions.
        daemons: Number of daemons that share the write limit; one is measured.
        callers: Number of concurrent callers; each starts a posting when its previous
            one has ended.
        seconds: How long callers start new postings.

    Returns:
        The figures as a dictionary.
    """
    clock = SystemClock()
    table = HttpTableService(address, PlatformLimiter(clock, lambda: daemons))
    store = IdempotencyStore(GroupedTable(table) if grouped else table, clock)
    durations_s, refused_count = [], [0]
    end_at = time.monotonic() + seconds

    def post():
        while time.monotonic() < end_at:
            call = PlainCall("POST", "/postings", b"{}")
            key = str(uuid6.uuid7())
            request = CallerRequest("r", "ledger", "ws", "", call, key)
            started_at = time.monotonic()
            begun = store.begin(request, new_attempt("r", 1))
            if begun.is_err():
                refused_count[0] += 1
                # Refused callers would otherwise use up the CPU.
                gevent.sleep(0.05)
                continue
            store.finish(begun.unwrap(), Ok(Outcome(200, b"{}")))
            durations_s.append(time.monotonic() - started_at)

    gevent.joinall([gevent.spawn(post) for _ in range(callers)], raise_error=True)
    durations_s.sort()
    median_s = durations_s[len(durations_s) // 2] if durations_s else None
    return {
        "grouped": grouped,
        "daemons": daemons,
        "callers": callers,
        "postings_per_s": round(len(durations_s) / seconds, 1),
        "refused": refused_count[0],
        "unsettled": store.outstanding,
        "median_s": median_s and round(median_s, 4),
    }


def main(
    daemons: int = 1, callers: int = 200, seconds: float = 5.0, grouped: bool = True
):
    """Measures one case with a platform in the same process."""
    platform = PlatformState()
    server = Server("127.0.0.1:0", create_app(platform))
    figures = measure(server.start(), grouped, daemons, callers, min(seconds, 60.0))
    figures["commits_per_s"] = round(platform.counts["commits"] / seconds, 1)
    server.stop()
    print(msgspec.json.encode(figures).decode())


if __name__ == "__main__":
    typer.run(main)
