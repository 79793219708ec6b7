"""Entry processes of a soak run: their start, signals and end."""

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from math import inf
from pathlib import Path

import gevent

from amaranthbay.platform.boot import BOOT_PATH_VARIABLE
from amaranthbay.platform.tests.soak.links import Link

__all__ = ["EXIT_TIMEOUT_S", "GRACE_S", "RESTART_DELAY_S", "EntryProcess"]

ROOT = Path(__file__).resolve().parents[4]
GRACE_S = 4.0
RESTART_DELAY_S = 0.3
EXIT_TIMEOUT_S = GRACE_S + 2.0
ENDING_SIGNALS = frozenset((signal.SIGTERM, signal.SIGKILL))


@dataclass
class UpTime:
    """Time in which a process served.

    Attributes:
        started_at: Monotonic time at which it was seen to serve.
        ended_at: Monotonic time at which it was told to end. An end for any other
            reason doesn't count: requests that it costs were to be served.
    """

    started_at: float
    ended_at: float = inf


@dataclass
class EntryProcess:
    """An entry process that is started again each time it ends.

    Attributes:
        name: Name of its instance.
        boot_path: Path of its boot file.
        log_path: Path of the file with its output.
        caller_link: `Link` from callers to the process.
        store_link: `Link` from the process to the store.
        lookup_address: Address at which it answers lookups.
        popen: The process that runs or ran last.
        log_offset: Size of the log when that process was started, in bytes.
        restarted_by_fault: Whether a fault ends the process and starts it again, so
            that `Deployment.supervise` must not.
        exit_codes: Exit codes of processes that had begun to serve and weren't killed;
            None for one that did not end in time.
        up_times: Each `UpTime`.
    """

    name: str
    boot_path: Path
    log_path: Path
    caller_link: Link
    store_link: Link
    lookup_address: str
    popen: subprocess.Popen = None
    log_offset: int = 0
    restarted_by_fault: bool = False
    exit_codes: list = field(default_factory=list)
    up_times: list = field(default_factory=list)

    def has_started(self):
        """Returns whether the last process has logged that it serves."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_offset)
            return b'"event":"started"' in log.read()

    def start(self):
        """Starts the process, which must not run."""
        environ = dict(os.environ) | {
            BOOT_PATH_VARIABLE: str(self.boot_path),
            "PYTHONPATH": str(ROOT),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = [sys.executable, "-m", "amaranthbay", "entry"]
        with open(self.log_path, "ab") as log:
            self.log_offset = log.tell()
            self.popen = subprocess.Popen(command, stdout=log, stderr=log, env=environ)

    def note_start(self):
        """Notes that the process has begun to serve, unless it was told to end."""
        if not self.up_times or self.up_times[-1].ended_at < inf:
            self.up_times.append(UpTime(time.monotonic()))

    def was_up(self, start, end):
        """Returns whether the process served all the time between two times."""
        return any(
            up_time.started_at <= start and end <= up_time.ended_at
            for up_time in self.up_times
        )

    def signal(self, signum):
        """Sends a signal if the process still runs."""
        if signum in ENDING_SIGNALS and self.up_times:
            last = self.up_times[-1]
            last.ended_at = min(last.ended_at, time.monotonic())
        if self.popen.poll() is None:
            self.popen.send_signal(signum)

    def wait_exit(self, timeout_s):
        """Waits for the end; returns the exit code, None after the timeout."""
        ends_at = time.monotonic() + timeout_s
        while self.popen.poll() is None and time.monotonic() < ends_at:
            gevent.sleep(0.02)
        return self.popen.poll()

    def kill_and_restart(self):
        """Kills the process and starts it again, unless another fault does so."""
        if self.restarted_by_fault:
            return
        self.restarted_by_fault = True
        self.kill()
        gevent.sleep(RESTART_DELAY_S)
        self.start()
        self.restarted_by_fault = False

    def kill(self):
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        self.wait_exit(EXIT_TIMEOUT_S)

    def stop_and_restart(self):
        """Ends the process with SIGTERM and starts it again.

        Its exit code is recorded only if it had begun to serve: before that, the
        default action of the signal ends it, and no request is lost. Nothing happens
        while another fault starts the process again.
        """
        if self.restarted_by_fault:
            return
        self.restarted_by_fault = True
        has_started = self.has_started()
        self.signal(signal.SIGTERM)
        code = self.wait_exit(EXIT_TIMEOUT_S)
        if has_started:
            self.exit_codes.append(code)
        if code is None:
            self.kill()
        gevent.sleep(RESTART_DELAY_S)
        self.start()
        self.restarted_by_fault = False
