"""Measures the cost of membership: ``python -m amaranthbay.membership.measure``.

Prints a JSON line for each size. ``daemons`` starts real daemons on loopback and
reads their counts; ``machines`` drives protocol state machines in virtual time.
"""

from amaranthbay.utils.runtime import pin_event_loop

pin_event_loop()

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
SETTLE_BOUND_S = 300.0
SPREAD_BOUND_S = 120.0


def summary(rates):
    """Returns mean and greatest rates of bytes and datagrams."""
    sizes = [each[0] for each in rates]
    counts = [each[1] for each in rates]
    return {
        "bytes_s_mean": round(statistics.mean(sizes), 1),
        "bytes_s_max": round(max(sizes), 1),
        "datagrams_s_mean": round(statistics.mean(counts), 2),
        "datagrams_s_max": round(max(counts), 2),
    }


def write_json_line(**fields):
    """Prints a JSON line."""
    typer.echo(msgspec.json.encode(fields).decode())


def measure_virtual(network, seconds):
    """Returns the rates of each running daemon over a virtual time."""
    nodes = [node for node in network.nodes.values() if node.running]
    before = [_counts(node) for node in nodes]
    network.run(seconds)
    after = [_counts(node) for node in nodes]
    return _rates(before, after, seconds)


def _counts(node):
    budget = node.protocol.composer.budget
    return budget.bytes_total, budget.datagrams_total


def _rates(before, after, seconds):
    return [
        ((last[0] - first[0]) / seconds, (last[1] - first[1]) / seconds)
        for first, last in zip(before, after)
    ]


def _rounded(seconds, offset=0.0):
    return None if seconds is None else round(seconds + offset, 1)


def _is_settled(network):
    return all(not len(each.protocol.view.gossip) for each in network.nodes.values())


def _all_consider_dead(network, name):
    running = [each for each in network.nodes.values() if each.running]
    return all(each.state_of(name) == "dead" for each in running)


@app.command()
def machines(
    sizes: str = typer.Option("3,9,27,320", help="Members, comma-separated."),
    seconds: int = typer.Option(30, help="Virtual seconds for each figure."),
    seed: int = typer.Option(1, help="Seed of the virtual network."),
):
    """Measures state machines: start of all, steady, one killed, a tenth cut off."""
    for size in (int(each) for each in sizes.split(",")):
        network = Network(size, seed)
        cpu_s = time.process_time()
        rates = {"start": measure_virtual(network, seconds)}
        settled = network.run_until(lambda: _is_settled(network), SETTLE_BOUND_S)
        rates["steady"] = measure_virtual(network, seconds)
        network.kill("entry-1")
        spread = network.run_until(
            lambda: _all_consider_dead(network, "entry-1"), SPREAD_BOUND_S
        )
        rates["one_killed"] = measure_virtual(network, seconds)
        network.partitioned = {f"entry-{number}" for number in range(2, 2 + size // 10)}
        rates["tenth_cut"] = measure_virtual(network, seconds)
        cpu_s = time.process_time() - cpu_s
        common = {"kind": "machines", "members": size, "seed": seed}
        common["seconds"] = seconds
        for condition in CONDITIONS:
            write_json_line(**common, condition=condition, **summary(rates[condition]))
        write_json_line(
            **common,
            settled_after_start_s=_rounded(settled, seconds),
            death_known_everywhere_s=_rounded(spread),
            cpu_share_mean=round(cpu_s / network.now / size, 5),
        )


@app.command()
def daemons(
    sizes: str = typer.Option("3,9,27", help="Daemons, comma-separated; at most 27."),
    seconds: int = typer.Option(20, help="Seconds for each figure."),
):
    """Measures real daemons on loopback at rest."""
    for size in (int(each) for each in sizes.split(",")):
        if not 1 <= size <= MAX_DAEMONS:
            raise typer.BadParameter(f"between 1 and {MAX_DAEMONS} daemons")
        with Deployment() as deployment:
            for number in range(size):
                deployment.start_daemon(f"entry-{number}")
            deployment.publish()
            deployment.accept()
            deployment.wait_ready()
            gevent.sleep(seconds)
            before, cpu_s = _read_traffic(deployment), _cpu_s(deployment)
            started = time.monotonic()
            gevent.sleep(seconds)
            after = _read_traffic(deployment)
            elapsed = time.monotonic() - started
            share = (_cpu_s(deployment) - cpu_s) / elapsed / size
        rates = _rates(before, after, elapsed)
        common = {"kind": "daemons", "members": size, "condition": "steady"}
        common["seconds"] = seconds
        write_json_line(
            **common, **summary(rates), process_cpu_share_mean=round(share, 4)
        )


def _read_traffic(deployment):
    return [deployment.status(name)["probe_traffic"] for name in deployment.daemons]


def _cpu_s(deployment):
    """Returns the CPU seconds of all daemons so far."""
    ticks = 0
    for process in deployment.daemons.values():
        with open(f"/proc/{process.popen.pid}/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / 100


if __name__ == "__main__":
    app()
