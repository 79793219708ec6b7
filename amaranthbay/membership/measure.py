"""Measures the cost of membership: ``python -m amaranthbay.membership.measure``.

Prints JSON lines for each number of members. ``daemons`` starts real daemons on the
loopback interface and reads their counters; ``machines`` simulates the protocol state
machines in virtual time.
"""

from amaranthbay.utils.runtime import select_event_loop

select_event_loop()

import statistics  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
import typer  # noqa: E402

from amaranthbay.membership.harness import Network  # noqa: E402
from amaranthbay.standins.processes import Deployment  # noqa: E402

app = typer.Typer(no_args_is_help=True, add_completion=False)

CONDITIONS = ("start", "steady", "one_killed", "tenth_cut")
MAX_DAEMONS = 27
SETTLE_TIMEOUT_S = 300.0
DEATH_TIMEOUT_S = 120.0


def summary(rates):
    """Returns the mean and maximum rates of bytes and datagrams for the report."""
    byte_rates = [rate[0] for rate in rates]
    datagram_rates = [rate[1] for rate in rates]
    return {
        "bytes_s_mean": round(statistics.mean(byte_rates), 1),
        "bytes_s_max": round(max(byte_rates), 1),
        "datagrams_s_mean": round(statistics.mean(datagram_rates), 2),
        "datagrams_s_max": round(max(datagram_rates), 2),
    }


def write_json_line(**fields):
    """Prints a JSON line."""
    typer.echo(msgspec.json.encode(fields).decode())


def measure_virtual(network, seconds):
    """Runs a network for some virtual seconds.

    Returns:
        A pair of bytes and datagrams per second for each running daemon.
    """
    nodes = [node for node in network.nodes.values() if node.running]
    before = [_counts(node) for node in nodes]
    network.run(seconds)
    after = [_counts(node) for node in nodes]
    return _rates_of(before, after, seconds)


def _counts(node):
    budget = node.protocol.composer.budget
    return budget.bytes_total, budget.datagrams_total


def _rates_of(before, after, seconds):
    return [
        ((end[0] - start[0]) / seconds, (end[1] - start[1]) / seconds)
        for start, end in zip(before, after)
    ]


def _rounded(seconds, offset=0.0):
    """Returns a time plus an offset, rounded for the report; None if there is none."""
    return None if seconds is None else round(seconds + offset, 1)


def _is_settled(network):
    """Returns whether no daemon has updates left to gossip."""
    return all(not len(node.protocol.view.gossip) for node in network.nodes.values())


def _all_consider_dead(network, name):
    running = [node for node in network.nodes.values() if node.running]
    return all(node.state_of(name) == "dead" for node in running)


@app.command()
def machines(
    sizes: str = typer.Option("3,9,27,320", help="Members, comma-separated."),
    seconds: int = typer.Option(30, help="Virtual seconds for each figure."),
    seed: int = typer.Option(1, help="Seed of the virtual network."),
):
    """Measures simulated daemons: at start, steady, one killed, a tenth cut off."""
    for size in (int(text) for text in sizes.split(",")):
        network = Network(size, seed)
        cpu_start_s = time.process_time()
        rates = {"start": measure_virtual(network, seconds)}
        settled_s = network.run_until(lambda: _is_settled(network), SETTLE_TIMEOUT_S)
        rates["steady"] = measure_virtual(network, seconds)
        network.kill("entry-1")
        death_known_s = network.run_until(
            lambda: _all_consider_dead(network, "entry-1"), DEATH_TIMEOUT_S
        )
        rates["one_killed"] = measure_virtual(network, seconds)
        network.partitioned = {f"entry-{number}" for number in range(2, 2 + size // 10)}
        rates["tenth_cut"] = measure_virtual(network, seconds)
        cpu_s = time.process_time() - cpu_start_s
        common = {"kind": "machines", "members": size, "seed": seed}
        common["seconds"] = seconds
        for condition in CONDITIONS:
            write_json_line(**common, condition=condition, **summary(rates[condition]))
        write_json_line(
            **common,
            settled_after_start_s=_rounded(settled_s, seconds),
            death_known_everywhere_s=_rounded(death_known_s),
            cpu_share_mean=round(cpu_s / network.now / size, 5),
        )


@app.command()
def daemons(
    sizes: str = typer.Option("3,9,27", help="Daemons, comma-separated; at most 27."),
    seconds: int = typer.Option(20, help="Seconds for each figure."),
):
    """Measures idle real daemons on the loopback interface."""
    for size in (int(text) for text in sizes.split(",")):
        if not 1 <= size <= MAX_DAEMONS:
            raise typer.BadParameter(
                f"each size must be between 1 and {MAX_DAEMONS} daemons"
            )
        with Deployment() as deployment:
            for number in range(size):
                deployment.start_daemon(f"entry-{number}")
            deployment.publish()
            deployment.accept()
            deployment.wait_ready()
            gevent.sleep(seconds)
            before, cpu_start_s = _read_traffic(deployment), _cpu_s(deployment)
            started = time.monotonic()
            gevent.sleep(seconds)
            after = _read_traffic(deployment)
            elapsed = time.monotonic() - started
            cpu_share = (_cpu_s(deployment) - cpu_start_s) / elapsed / size
        rates = _rates_of(before, after, elapsed)
        common = {"kind": "daemons", "members": size, "condition": "steady"}
        common["seconds"] = seconds
        write_json_line(
            **common, **summary(rates), process_cpu_share_mean=round(cpu_share, 4)
        )


def _read_traffic(deployment):
    return [deployment.status(name)["probe_traffic"] for name in deployment.daemons]


def _cpu_s(deployment):
    """Returns the CPU seconds that all daemons have used so far."""
    ticks = 0
    for process in deployment.daemons.values():
        with open(f"/proc/{process.popen.pid}/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        # User and system time, fields 14 and 15 of proc(5). The first two fields of
        # the line were cut off with the command name, which may contain spaces.
        ticks += int(fields[11]) + int(fields[12])
    return ticks / 100


if __name__ == "__main__":
    app()
