"""Shows the whole path on stand-ins that speak the users' protocol.

Starts three entry processes, a store and servers on loopback, then sends requests,
changes the configuration, lets a server leave and kills a process.
"""

import itertools
import time

import typer
from gevent import socket

from amaranthbay.observe import configure_logs
from amaranthbay.observe.explain import explain_lines, read_lines, sentence
from amaranthbay.platform.tests.soak.callers import KINDS, look_up, send
from amaranthbay.platform.tests.soak.world import World
from amaranthbay.utils.testing import wait_until

__all__ = ["show"]

SEED = 1
CONNECT_S = 1.0
# Availability zone of the callers, and the entry instances in it.
ZONE, INSTANCES = "zone-b", 2
SHOWN = ("look", "pay", "resume")


class Demo:
    """One deployment and what is shown of it."""

    def __init__(self, world, echo):
        self._world = world
        self._echo = echo
        self._numbers = itertools.count(1)

    def run(self):
        """Plays all scenes."""
        wait_until(lambda: len(self._addresses()) == INSTANCES)
        self._echo(f"A lookup names {', '.join(self._addresses())}.")
        for kind in SHOWN:
            self._show_request(kind)
        self._change_configuration()
        self._drain()
        self._kill()

    def _addresses(self):
        process = next(iter(self._world.processes.values()))
        return look_up(process.lookup_address, ZONE)

    def _send(self, kind, name=None):
        process = self._world.processes[name or next(iter(self._world.processes))]
        host, port = process.callers.address.split(":")
        attempt = f"demo{next(self._numbers):04d}"
        with socket.create_connection((host, int(port)), CONNECT_S) as sock:
            return send(sock, process.name, kind, attempt)

    def _show_request(self, kind):
        found = self._send(kind)
        arrivals = [a for a in self._world.arrivals() if a.attempt == found.attempt]
        path = " -> ".join(
            f"{each.server}{' (prompt only)' if each.prefill else ''}"
            for each in sorted(arrivals, key=lambda each: each.at)
        )
        size = f"{found.body.count(b'id: ')} events" if KINDS[kind].stream else "whole"
        self._echo(
            f"{KINDS[kind].prefix} via {found.process} -> {path}: {found.status}, "
            f"{size}, {1000 * found.seconds:.0f} ms"
        )
        log_path = self._world.processes[found.process].log_path
        wait_until(lambda: b"request_ended" in log_path.read_bytes())
        for line in explain_lines(found.attempt, read_lines([log_path])):
            self._echo(f"    {sentence(line)}")

    def _runs_at(self, service):
        found = self._send("move")
        runs = [a for a in self._world.arrivals() if a.attempt == found.attempt]
        return bool(runs) and runs[-1].service == service

    def _change_configuration(self):
        started_at = time.monotonic()
        self._world.configure("other")
        wait_until(lambda: self._runs_at("other"))
        seconds = time.monotonic() - started_at
        self._echo(f"/move/ leads to another service {seconds:.2f} s after the change.")

    def _drain(self):
        name = self._world.servers["desk-1"].name
        self._world.drain_server("desk-1")
        wait_until(lambda: not self._reaches(name))
        self._echo(f"{name} drains: 20 requests in a row went to others.")

    def _reaches(self, server):
        found = [self._send("look").attempt for _ in range(20)]
        return any(
            each.server == server and each.attempt in found
            for each in self._world.arrivals()
        )

    def _kill(self):
        gone = self._addresses()[-1]
        by_address = {
            each.callers.target: name for name, each in self._world.processes.items()
        }
        name = by_address[gone]
        started_at = time.monotonic()
        self._world.kill(name)
        wait_until(lambda: gone not in self._addresses())
        seconds = time.monotonic() - started_at
        other = next(each for each in self._world.processes if each != name)
        status = self._send("look", other).status
        self._echo(
            f"{name} is killed: lookups leave it out after {seconds:.1f} s; "
            f"the others answer {status}."
        )


def show(echo=typer.echo):
    """Runs the demo.

    Args:
        echo: Function that takes each line.
    """
    configure_logs("error")
    with World(SEED) as world:
        Demo(world, echo).run()


if __name__ == "__main__":
    show()
