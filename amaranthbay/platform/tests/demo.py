"""Demo of a whole deployment on loopback, with stand-ins for store and servers.

Starts three entry processes, sends requests, changes the configuration, drains a server
and kills a process.
"""

import itertools
import time

import typer
from gevent import socket

from amaranthbay.observe import configure_logs
from amaranthbay.observe.explain import describe_line, lines_about, read_lines
from amaranthbay.platform.tests.soak.callers import KINDS, look_up, send
from amaranthbay.platform.tests.soak.deployment import Deployment
from amaranthbay.utils.testing import wait_until

__all__ = ["show"]

SEED = 1
CONNECT_S = 1.0
# Availability zone of the callers, and the number of entry instances in it.
ZONE, INSTANCE_COUNT = "zone-b", 2
SHOWN_KINDS = ("look", "pay", "resume")


class Demo:
    """Runs the scenes of the demo on a deployment and prints what happens."""

    def __init__(self, deployment, echo):
        self._deployment = deployment
        self._echo = echo
        self._numbers = itertools.count(1)

    def run(self):
        """Runs all scenes."""
        wait_until(lambda: len(self._addresses()) == INSTANCE_COUNT)
        self._echo(f"A lookup names {', '.join(self._addresses())}.")
        for kind in SHOWN_KINDS:
            self._show_request(kind)
        self._change_configuration()
        self._drain()
        self._kill()

    def _addresses(self):
        process = next(iter(self._deployment.processes.values()))
        return look_up(process.lookup_address, ZONE)

    def _send(self, kind, name=None):
        process = self._deployment.processes[
            name or next(iter(self._deployment.processes))
        ]
        host, port = process.caller_link.address.split(":")
        attempt = f"demo{next(self._numbers):04d}"
        with socket.create_connection((host, int(port)), CONNECT_S) as sock:
            return send(sock, process.name, kind, attempt)

    def _show_request(self, kind):
        exchange = self._send(kind)
        arrivals = [
            arrival
            for arrival in self._deployment.arrivals()
            if arrival.attempt == exchange.attempt
        ]
        path = " -> ".join(
            f"{arrival.server}{' (prompt only)' if arrival.prefill else ''}"
            for arrival in sorted(arrivals, key=lambda arrival: arrival.arrived_at)
        )
        size = (
            f"{exchange.body.count(b'id: ')} events" if KINDS[kind].stream else "whole"
        )
        self._echo(
            f"{KINDS[kind].prefix} via {exchange.process} -> {path}: "
            f"{exchange.status}, {size}, {1000 * exchange.duration_s:.0f} ms"
        )
        log_path = self._deployment.processes[exchange.process].log_path
        wait_until(lambda: b"request_ended" in log_path.read_bytes())
        for line in lines_about(exchange.attempt, read_lines([log_path])):
            self._echo(f"    {describe_line(line)}")

    def _move_leads_to(self, service):
        """Returns whether a request to the route ``move`` reaches a service."""
        exchange = self._send("move")
        arrivals = [
            arrival
            for arrival in self._deployment.arrivals()
            if arrival.attempt == exchange.attempt
        ]
        return bool(arrivals) and arrivals[-1].service == service

    def _change_configuration(self):
        started_at = time.monotonic()
        self._deployment.configure("other")
        wait_until(lambda: self._move_leads_to("other"))
        seconds = time.monotonic() - started_at
        self._echo(f"/move/ leads to another service {seconds:.2f} s after the change.")

    def _drain(self):
        name = self._deployment.servers["desk-1"].name
        self._deployment.drain_server("desk-1")
        wait_until(lambda: not self._any_request_reaches(name))
        self._echo(f"{name} drains: 20 requests in a row went to others.")

    def _any_request_reaches(self, server):
        """Sends 20 requests; returns whether a server gets one of them."""
        attempts = [self._send("look").attempt for _ in range(20)]
        return any(
            arrival.server == server and arrival.attempt in attempts
            for arrival in self._deployment.arrivals()
        )

    def _kill(self):
        killed_address = self._addresses()[-1]
        by_address = {
            process.caller_link.target: name
            for name, process in self._deployment.processes.items()
        }
        name = by_address[killed_address]
        started_at = time.monotonic()
        self._deployment.processes[name].kill()
        wait_until(lambda: killed_address not in self._addresses())
        seconds = time.monotonic() - started_at
        other = next(other for other in self._deployment.processes if other != name)
        status = self._send("look", other).status
        self._echo(
            f"{name} is killed: lookups leave it out after {seconds:.1f} s; "
            f"the others answer {status}."
        )


def show(echo=typer.echo):
    """Runs the demo.

    Args:
        echo: Function that prints one line.
    """
    configure_logs("error")
    with Deployment(SEED) as deployment:
        Demo(deployment, echo).run()


if __name__ == "__main__":
    show()
