"""Faults of the entry processes and of the links between the programs."""

import signal

import gevent

from amaranthbay.platform.tests.soak.deployment import SERVERS
from amaranthbay.platform.tests.soak.links import Mode
from amaranthbay.platform.tests.soak.steps import Fault, choose_by_strength

__all__ = [
    "STORE_SETTLE_S",
    "CallerLink",
    "Kill",
    "KillAll",
    "Pause",
    "Reload",
    "Reset",
    "ServerLink",
    "Stop",
    "StoreLink",
]

# In this time a process that was killed starts, reads the store and becomes ready.
START_S = 4.0
# Processes notice a silent store only when their open polls time out.
STORE_SETTLE_S = 4.0


class Pause(Fault):
    """A process is suspended with SIGSTOP, several times if the strength is high."""

    def inject(self, deployment, step):
        process = deployment.processes[step.target]
        times = 1 + int(step.strength * 4)
        for _ in range(times):
            process.signal(signal.SIGSTOP)
            gevent.sleep(step.duration_s / times)
            process.signal(signal.SIGCONT)
            gevent.sleep(0.05)


class Kill(Fault):
    """A process is killed and starts again."""

    settle_s = START_S

    def inject(self, deployment, step):
        deployment.processes[step.target].kill_and_restart()


class KillAll(Fault):
    """All processes are killed at once."""

    settle_s = START_S

    def targets(self, deployment):
        return ["all"]

    def inject(self, deployment, step):
        jobs = [
            gevent.spawn(process.kill_and_restart)
            for process in deployment.processes.values()
        ]
        gevent.joinall(jobs)


class Stop(Fault):
    """A process is stopped with SIGTERM and starts again: planned work."""

    settle_s = START_S

    def inject(self, deployment, step):
        deployment.processes[step.target].stop_and_restart()


class Reload(Fault):
    """The settings of a process change and it gets SIGHUP: planned work."""

    settle_s = 0.0

    def inject(self, deployment, step):
        process = deployment.processes[step.target]
        path = process.boot_path
        text = path.read_text().replace("LinkMbps = 1000.0", "LinkMbps = 900.0")
        path.write_text(text)
        process.signal(signal.SIGHUP)


class _LinkFault(Fault):
    """A link is set to a faulty mode for some time."""

    MODES = (
        Mode.DELAY,
        Mode.SILENT,
        Mode.CUT_REQUESTS,
        Mode.CUT_ANSWERS,
        Mode.REFUSE,
    )

    def links(self, deployment, target):
        """Returns the links that the fault of a target affects."""
        return [deployment.processes[target].caller_link]

    def inject(self, deployment, step):
        links = self.links(deployment, step.target)
        mode = choose_by_strength(self.MODES, step.strength)
        for link in links:
            link.delay_s = step.strength
            link.mode = mode
        gevent.sleep(step.duration_s)
        for link in links:
            link.mode = Mode.PASS
            if step.strength < 0.5:
                # At a low strength the connections that were held end with a reset.
                link.reset()


class CallerLink(_LinkFault):
    """The link from callers to a process is faulty."""


class StoreLink(_LinkFault):
    """The link from a process to the store is faulty."""

    settle_s = STORE_SETTLE_S

    def links(self, deployment, target):
        return [deployment.processes[target].store_link]


class ServerLink(_LinkFault):
    """The link from all processes to a server is faulty."""

    def targets(self, deployment):
        return list(SERVERS)

    def links(self, deployment, target):
        return [deployment.links[target]]


class Reset(Fault):
    """All connections to a server are reset, or those of a process: from callers if the
    strength is low, else to the store."""

    def targets(self, deployment):
        return [*deployment.processes, *SERVERS]

    def inject(self, deployment, step):
        if step.target in SERVERS:
            deployment.links[step.target].reset()
            return
        process = deployment.processes[step.target]
        (process.caller_link if step.strength < 0.5 else process.store_link).reset()
