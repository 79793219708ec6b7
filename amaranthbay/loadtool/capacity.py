"""Measures what a daemon costs at several sizes, for the capacity page.

Run as ``python -m amaranthbay.loadtool.capacity SIZE_KIND``; prints JSON lines.
"""

from amaranthbay.utils.runtime import pin_event_loop

pin_event_loop()

import os  # noqa: E402
import time  # noqa: E402
from dataclasses import dataclass, replace  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
import typer  # noqa: E402

from amaranthbay.client import Client  # noqa: E402
from amaranthbay.standins.configurations import small_configuration  # noqa: E402
from amaranthbay.standins.processes import (  # noqa: E402
    ZONES,
    Deployment,
    call_json,
    start_small,
)

__all__ = ["app"]

SETTLE_S = 12.0
WINDOW_S = 15.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
READY_VERSION = 1

app = typer.Typer(no_args_is_help=True, add_completion=False)


@dataclass(frozen=True)
class Usage:
    """Processor seconds and resident bytes of one process."""

    cpu_s: float
    resident_bytes: int


def read_usage(pid):
    """Returns the `Usage` of a process so far."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm") as statm:
        pages = int(statm.read().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES)


def platform_reads(deployment):
    """Returns the reads that the platform has answered."""
    return call_json(deployment.platform.address, "GET", "/control/counts")["reads"]


def probe_bytes(deployment):
    """Returns the bytes of probes that each daemon has sent and received."""
    return sum(
        deployment.status(name)["probe_traffic"][0] for name in deployment.daemons
    )


def measure(deployment):
    """Returns the mean cost of a daemon at rest, over the window."""
    gevent.sleep(SETTLE_S)
    pids = [each.popen.pid for each in deployment.daemons.values()]
    probes = probe_bytes(deployment)
    reads = platform_reads(deployment)
    before = [read_usage(pid) for pid in pids]
    started = time.monotonic()
    gevent.sleep(WINDOW_S)
    taken_s = time.monotonic() - started
    after = [read_usage(pid) for pid in pids]
    reads = platform_reads(deployment) - reads
    probes = probe_bytes(deployment) - probes
    cpu_s = sum(each.cpu_s for each in after) - sum(each.cpu_s for each in before)
    resident = max(each.resident_bytes for each in after)
    count = len(pids)
    return {
        "core_percent": round(100 * cpu_s / taken_s / count, 3),
        "resident_mb": round(resident / 1e6, 1),
        "probe_bytes_s": round(probes / taken_s / count, 1),
        "platform_reads_s": round(reads / taken_s / count, 2),
    }


def report(kind, size, figures):
    """Prints one JSON line."""
    line = {"kind": kind, "size": size} | figures
    typer.echo(msgspec.json.encode(line).decode())


@app.command()
def daemons(sizes: list[int] = typer.Option([3, 9, 27])):
    """Cost of a daemon at rest over the number of daemons."""
    for size in sizes:
        with Deployment() as deployment:
            for number in range(1, size + 1):
                deployment.start_daemon(f"entry-{number}", ZONES[number % len(ZONES)])
            deployment.publish()
            deployment.accept()
            deployment.wait_ready(READY_VERSION)
            report("daemons", size, measure(deployment))


@app.command()
def workers(sizes: list[int] = typer.Option([10, 100, 1300])):
    """Cost of a daemon at rest over the number of known backend servers."""
    for size in sizes:
        with Deployment() as deployment:
            engine = deployment.start_engine("decode-0", "decode").entry
            daemon = deployment.start_daemon("entry-1")
            # One engine answers under many names, to measure the daemon alone.
            entries = [
                replace(engine, instance=f"decode-{number}") for number in range(size)
            ]
            path = "/control/instances"
            entries.append(daemon.entry)
            call_json(deployment.platform.address, "POST", path, entries)
            deployment.accept()
            deployment.wait_ready(READY_VERSION)
            listed = len(msgspec.json.encode(entries))
            figures = measure(deployment) | {"instance_list_bytes": listed}
            report("workers", size, figures)


@app.command()
def workspaces(sizes: list[int] = typer.Option([100, 2600, 26000])):
    """Cost of a daemon at rest over the number of workspaces."""
    for size in sizes:
        with Deployment() as deployment:
            deployment.start_daemon("entry-1")
            deployment.publish()
            names = tuple(f"workspace-{number:05}" for number in range(size))
            deployment.accept(replace(small_configuration(), workspaces=names))
            deployment.wait_ready(READY_VERSION)
            report("workspaces", size, measure(deployment))


@app.command()
def tokens(sizes: list[int] = typer.Option([1, 50, 200]), requests: int = 60):
    """Processor time of a daemon for a request over the tokens of its answer."""
    with Deployment() as deployment:
        start_small(deployment, daemons=1, scale=0.02)
        daemon = deployment.daemons["entry-1"]
        client = Client([daemon.address], "ws-1", "desk")
        for size in sizes:
            before = read_usage(daemon.popen.pid).cpu_s
            for number in range(requests):
                list(client.complete("summary", f"lot {number}", size))
            cpu_s = read_usage(daemon.popen.pid).cpu_s - before
            figures = {"cpu_ms_per_request": round(1000 * cpu_s / requests, 3)}
            report("tokens", size, figures)


if __name__ == "__main__":
    app()
