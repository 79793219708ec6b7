"""Measures the processor time, memory and traffic of a daemon, for the capacity page.

``python -m amaranthbay.loadtool.capacity KIND`` prints a JSON line for each size; KIND
is the quantity that varies: ``daemons``, ``workers``, ``workspaces`` or ``tokens``.
"""

from amaranthbay.utils.runtime import select_event_loop

select_event_loop()

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
    start_small_deployment,
)

__all__ = ["app"]

# Wait before a measurement.
SETTLE_S = 12.0
# Length of a measurement.
WINDOW_S = 15.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Configuration version that the daemons must have before a measurement.
READY_VERSION = 1

app = typer.Typer(no_args_is_help=True, add_completion=False)


@dataclass(frozen=True)
class Usage:
    """Resources that one process uses.

    Attributes:
        cpu_s: Seconds of processor time since its start.
        resident_bytes: Resident memory at this moment.
    """

    cpu_s: float
    resident_bytes: int


def read_usage(pid):
    """Returns the `Usage` of a process, from /proc."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm") as statm:
        pages = int(statm.read().split()[1])
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES)


def count_platform_reads(deployment):
    """Returns the number of reads that the platform has answered so far."""
    return call_json(deployment.platform.address, "GET", "/control/counts")["reads"]


def count_probe_bytes(deployment):
    """Returns the bytes of membership probes that all daemons sent and received."""
    return sum(
        deployment.status(name)["probe_traffic"][0] for name in deployment.daemons
    )


def measure_idle(deployment):
    """Returns what an idle daemon uses, as fields of the JSON line.

    Processor time, probe traffic and reads are means over the daemons and the window;
    memory is that of the largest daemon.
    """
    gevent.sleep(SETTLE_S)
    pids = [daemon.popen.pid for daemon in deployment.daemons.values()]
    probes = count_probe_bytes(deployment)
    reads = count_platform_reads(deployment)
    before = [read_usage(pid) for pid in pids]
    started_at = time.monotonic()
    gevent.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - started_at
    after = [read_usage(pid) for pid in pids]
    reads = count_platform_reads(deployment) - reads
    probes = count_probe_bytes(deployment) - probes
    cpu_s = sum(usage.cpu_s for usage in after) - sum(usage.cpu_s for usage in before)
    resident_bytes = max(usage.resident_bytes for usage in after)
    daemon_count = len(pids)
    return {
        "core_percent": round(100 * cpu_s / elapsed_s / daemon_count, 3),
        "resident_mb": round(resident_bytes / 1e6, 1),
        "probe_bytes_s": round(probes / elapsed_s / daemon_count, 1),
        "platform_reads_s": round(reads / elapsed_s / daemon_count, 2),
    }


def print_line(kind, size, figures):
    """Prints the figures of one size as a JSON line."""
    line = {"kind": kind, "size": size} | figures
    typer.echo(msgspec.json.encode(line).decode())


@app.command()
def daemons(sizes: list[int] = typer.Option([3, 9, 27])):
    """Measures an idle daemon at several numbers of daemons."""
    for size in sizes:
        with Deployment() as deployment:
            for number in range(1, size + 1):
                deployment.start_daemon(f"entry-{number}", ZONES[number % len(ZONES)])
            deployment.publish()
            deployment.accept()
            deployment.wait_ready(READY_VERSION)
            print_line("daemons", size, measure_idle(deployment))


@app.command()
def workers(sizes: list[int] = typer.Option([10, 100, 1300])):
    """Measures an idle daemon at several numbers of backend servers."""
    for size in sizes:
        with Deployment() as deployment:
            engine = deployment.start_engine("decode-0", "decode").instance_entry
            daemon = deployment.start_daemon("entry-1")
            # One engine stands for all of them, since only the daemon is measured.
            entries = [
                replace(engine, instance=f"decode-{number}") for number in range(size)
            ]
            path = "/control/instances"
            entries.append(daemon.instance_entry)
            call_json(deployment.platform.address, "POST", path, entries)
            deployment.accept()
            deployment.wait_ready(READY_VERSION)
            list_bytes = len(msgspec.json.encode(entries))
            figures = measure_idle(deployment) | {"instance_list_bytes": list_bytes}
            print_line("workers", size, figures)


@app.command()
def workspaces(sizes: list[int] = typer.Option([100, 2600, 26000])):
    """Measures an idle daemon at several numbers of workspaces."""
    for size in sizes:
        with Deployment() as deployment:
            deployment.start_daemon("entry-1")
            deployment.publish()
            names = tuple(f"workspace-{number:05}" for number in range(size))
            deployment.accept(replace(small_configuration(), workspaces=names))
            deployment.wait_ready(READY_VERSION)
            print_line("workspaces", size, measure_idle(deployment))


@app.command()
def tokens(sizes: list[int] = typer.Option([1, 50, 200]), requests: int = 60):
    """Measures the processor time of a request at several lengths of its answer."""
    with Deployment() as deployment:
        start_small_deployment(deployment, daemons=1, scale=0.02)
        daemon = deployment.daemons["entry-1"]
        client = Client([daemon.address], "ws-1", "desk")
        for size in sizes:
            before = read_usage(daemon.popen.pid).cpu_s
            for number in range(requests):
                list(client.complete("summary", f"lot {number}", size))
            cpu_s = read_usage(daemon.popen.pid).cpu_s - before
            figures = {"cpu_ms_per_request": round(1000 * cpu_s / requests, 3)}
            print_line("tokens", size, figures)


if __name__ == "__main__":
    app()
