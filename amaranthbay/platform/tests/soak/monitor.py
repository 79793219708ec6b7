"""Watches the memory of entry processes, and whether they answer, during a run."""

import time
from dataclasses import dataclass
from pathlib import Path

import gevent

from amaranthbay.platform.tests.fixtures import call_raw, request

__all__ = ["STALL_S", "ProcessMonitor", "Stall"]

INTERVAL_S = 0.1
# Callers and the platform wait this long for the answer to a lookup.
STALL_S = 1.0
LOOKUP = request("/resolve?Name=x&Region=region-1&Zone=zone-a", host="x")


@dataclass(frozen=True)
class Stall:
    """A time in which a running process didn't answer a lookup.

    Attributes:
        process: Name of the process.
        started_at: Monotonic time at which the lookup was sent.
        ended_at: Monotonic time at which the wait for its answer ended.
    """

    process: str
    started_at: float
    ended_at: float


class ProcessMonitor:
    """Records the peak memory and the stalls of the processes of a deployment."""

    def __init__(self, deployment):
        self._deployment = deployment

    def run(self):
        """Watches all processes; runs until killed."""
        jobs = [
            gevent.spawn(self._watch, name, process)
            for name, process in self._deployment.processes.items()
        ]
        try:
            gevent.joinall(jobs, raise_error=True)
        finally:
            gevent.killall(jobs)

    def _watch(self, name, process):
        started = None
        while True:
            gevent.sleep(INTERVAL_S)
            popen = process.popen
            if popen.poll() is not None:
                continue
            self._record_memory(name, popen)
            if started is not popen and process.has_started():
                started = popen
                process.note_start()
            if started is popen:
                self._look_up(name, process, popen)

    def _record_memory(self, name, popen):
        try:
            status = Path(f"/proc/{popen.pid}/status").read_text()
            peak_mb = int(status.split("VmHWM:")[1].split()[0]) / 1024
        except (OSError, IndexError):
            # It has ended, or not yet replaced the image of this process.
            return
        peaks_mb = self._deployment.peaks_mb
        peaks_mb[name] = max(peaks_mb.get(name, 0.0), peak_mb)

    def _look_up(self, name, process, popen):
        started_at, answered = time.monotonic(), False
        try:
            with gevent.Timeout(STALL_S, False):
                call_raw(process.lookup_address, LOOKUP)
                answered = True
        except OSError:
            # It doesn't listen yet, or has ended.
            answered = True
        if not answered and process.popen is popen and popen.poll() is None:
            stall = Stall(name, started_at, time.monotonic())
            self._deployment.stalls.append(stall)
