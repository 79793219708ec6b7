"""The reports that this process creates of itself."""

from dataclasses import dataclass, field

from amaranthbay.fleet.reports import PeerStatus, ServerLoad

__all__ = ["OwnReport", "OwnReports"]


@dataclass(frozen=True)
class OwnReport:
    """Content of a full report of this process; see `PeerStatus` for the fields."""

    loads: dict = field(default_factory=dict)
    demands: dict = field(default_factory=dict)
    switching: dict = field(default_factory=dict)
    crashes: dict = field(default_factory=dict)
    versions: dict = field(default_factory=dict)
    lost_handles: tuple = ()
    era: int | None = None
    configuration: int = 0
    leaving: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)
    crashed_parts: dict = field(default_factory=dict)
    sound_parts: tuple = ()
    blocked_parts: dict = field(default_factory=dict)
    sound_requests: tuple = ()
    known_crashes: dict = field(default_factory=dict)


class OwnReports:
    """Numbers the reports of this process and finds the loads that have changed."""

    def __init__(self, instance, process_number, own_usage):
        """Creates it; no load has been reported yet.

        Args:
            instance: Name of the instance.
            process_number: Random number that identifies this process.
            own_usage: Function that returns the `Usage` of this process. Its argument
                tells whether only charges that peers have not heard of are needed.
        """
        self._instance = instance
        self._process_number = process_number
        self._own_usage = own_usage
        self._reported_loads = {}
        self._sequence = 0

    def changes(self, loads, serving, interval_s):
        """Creates the next report as a `PeerStatus`, with changes only.

        Args:
            loads: `ServerLoad` by server; None for a report without changes of loads.
                The changes must go to all busy instances.
            serving: Whether callers may be sent to this process.
            interval_s: Seconds until its next regular full report.
        """
        self._sequence += 1
        loads = self._reported_loads if loads is None else loads
        changed = {
            name: load
            for name, load in loads.items()
            if load != self._reported_loads.get(name)
        }
        ended = {
            name: ServerLoad() for name in self._reported_loads if name not in loads
        }
        self._reported_loads = dict(loads)
        return PeerStatus(
            instance=self._instance,
            process=self._process_number,
            sequence=self._sequence,
            serving=serving,
            loads=changed | ended,
            interval_s=interval_s,
            only_changes=True,
            usage=self._own_usage(True),
        )

    def full(self, report, serving, interval_s):
        """Creates the next full report as a `PeerStatus`.

        Args:
            report: `OwnReport` of this process.
            serving: Whether callers may be sent to this process.
            interval_s: Seconds until its next regular full report.
        """
        self._sequence += 1
        self._reported_loads = dict(report.loads)
        return PeerStatus(
            instance=self._instance,
            process=self._process_number,
            sequence=self._sequence,
            serving=serving,
            loads=report.loads,
            demands=report.demands,
            switching=report.switching,
            interval_s=interval_s,
            crashes=report.crashes,
            versions=report.versions,
            lost_handles=report.lost_handles,
            era=report.era,
            configuration=report.configuration,
            leaving=report.leaving,
            limits=report.limits,
            crashed_parts=report.crashed_parts,
            sound_parts=report.sound_parts,
            blocked_parts=report.blocked_parts,
            sound_requests=report.sound_requests,
            known_crashes=report.known_crashes,
            usage=self._own_usage(False),
        )
