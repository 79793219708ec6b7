"""Finds requests that crash the backend servers that run them.

All requests that ran on a crashed server are suspected. One that gets an answer is
sound, which clears it of all crashes so far. One that has been present at several
crashes without an answer is refused. After some time it is tried again: if it crashes
another server, it is refused for longer.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["CrashingRequests"]

# A request is refused after this many crashes.
CRASH_LIMIT = 3
# Time for which a crash counts. A request may come again at any time, so it is far
# longer than the life of a process.
CRASH_LIFE_S = 86400.0
# Time for which a request is refused, by the number of crashes beyond the limit; after
# more crashes it is refused as long as they count. The platform allows three tries
# within a day.
BLOCKS_S = (600.0, 7200.0)
# Crashes within this time may have a common cause, such as the failure of a rack. A
# popular request may run on all of these servers, so it is soon tried again.
MIN_SPAN_S = 0.5
SIMULTANEOUS_BLOCK_S = 60.0
# Time for which reports repeat a crash that this instance has seen, a sound request,
# and all that is known after another instance has started.
REPORT_S = 60.0
SOUND_REPORT_S = 3.0
RETELL_S = 10.0
# Largest number of crashes and of requests in a report to other instances, which also
# has to hold the loads.
MAX_REPORTED_CRASHES = 8
MAX_RETOLD_CRASHES = 6
MAX_REPORTED_SOUND = 6
# Largest number of suspected requests that are kept, and of crashes of each. Of several
# requests, the one with the fewest crashes that is known longest goes first.
MAX_SUSPECTS = 1000
MAX_CRASHES = 16


@dataclass
class _Suspect:
    """What is known of a suspected request; changed in place by `CrashingRequests`.

    Attributes:
        crashes: Monotonic time by crash that counts.
        cleared: Monotonic time by crash that no longer counts.
        own: Crashes that this instance has seen.
        retold: Number of reports by crash that have told new instances of it.
        sound_at: Monotonic time at which this instance found it sound, or None.
    """

    crashes: dict = field(default_factory=dict)
    cleared: dict = field(default_factory=dict)
    own: set = field(default_factory=set)
    retold: dict = field(default_factory=dict)
    sound_at: float | None = None

    def block_s(self):
        """Returns the seconds after the last crash for which it is refused."""
        beyond = len(self.crashes) - CRASH_LIMIT
        if beyond < 0:
            return 0.0
        times = self.crashes.values()
        if beyond == 0 and max(times) - min(times) < MIN_SPAN_S:
            return SIMULTANEOUS_BLOCK_S
        return BLOCKS_S[beyond] if beyond < len(BLOCKS_S) else math.inf

    def expire(self, oldest):
        """Forgets crashes before a monotonic time."""
        for crashes in (self.crashes, self.cleared):
            for crash in [name for name, at in crashes.items() if at < oldest]:
                del crashes[crash]
                self.own.discard(crash)
                self.retold.pop(crash, None)


class CrashingRequests:
    """Suspected requests by fingerprint, seen by this instance or told by others."""

    def __init__(self, clock):
        self._clock = clock
        self._suspects = OrderedDict()
        self._retells_until = -math.inf

    def __bool__(self):
        """Returns whether any request is suspected."""
        return bool(self._suspects)

    def note_crash(self, fingerprint, crash):
        """Records a crash that this instance has seen."""
        self.add(fingerprint, crash, self._clock.monotonic())
        suspect = self._suspects[fingerprint]
        if crash in suspect.crashes:
            suspect.own.add(crash)

    def add(self, fingerprint, crash, crashed_at):
        """Adds a crash; one that is known already is left as it is.

        Args:
            fingerprint: Fingerprint of the request.
            crash: Name of the crash: the same at all instances, another one for each
                start of a server.
            crashed_at: Monotonic time of the crash.
        """
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        if crash in suspect.cleared or crash in suspect.crashes:
            return
        if len(suspect.crashes) < MAX_CRASHES:
            suspect.crashes[crash] = crashed_at
        if len(self._suspects) > MAX_SUSPECTS:
            others = [name for name in self._suspects if name != fingerprint]
            del self._suspects[
                min(others, key=lambda name: len(self._suspects[name].crashes))
            ]

    def note_served(self, fingerprint):
        """Clears a request that has got an answer; returns whether it was suspected."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        suspect.sound_at = self._clock.monotonic()
        self._clear(suspect, suspect.sound_at)
        return True

    def clear(self, fingerprint, found_at):
        """Clears a request of the crashes before it was found sound elsewhere.

        Args:
            fingerprint: Fingerprint of the request.
            found_at: Monotonic time at which it was found sound.
        """
        if fingerprint in self._suspects:
            self._clear(self._suspects[fingerprint], found_at)

    def _clear(self, suspect, found_at):
        for crash, crashed_at in list(suspect.crashes.items()):
            if crashed_at <= found_at:
                suspect.cleared[crash] = suspect.crashes.pop(crash)

    def is_blocked(self, fingerprint):
        """Returns whether a request is refused."""
        return self.crash_count(fingerprint) >= CRASH_LIMIT and (
            self._clock.monotonic() < self._blocked_until(fingerprint)
        )

    def crash_count(self, fingerprint):
        """Returns the number of crashes of a request that count."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        suspect.expire(self._clock.monotonic() - CRASH_LIFE_S)
        return len(suspect.crashes)

    def _blocked_until(self, fingerprint):
        suspect = self._suspects[fingerprint]
        return max(suspect.crashes.values()) + suspect.block_s()

    def merge(self, crashes, sound=()):
        """Adds what another instance has seen.

        Args:
            crashes: Names of crashes by fingerprint.
            sound: Fingerprints of requests that have got an answer.
        """
        now = self._clock.monotonic()
        for fingerprint, names in crashes.items():
            for crash in names:
                self.add(fingerprint, crash, now)
        for fingerprint in sound:
            self.clear(fingerprint, now)

    def merge_known(self, ages):
        """Adds what another instance knows, by itself or from others.

        Args:
            ages: Seconds since each crash, by name of the crash, by fingerprint.
        """
        now = self._clock.monotonic()
        for fingerprint, crashes in ages.items():
            for crash, age_s in crashes.items():
                if age_s < CRASH_LIFE_S:
                    self.add(fingerprint, crash, now - age_s)

    def retell(self):
        """Reports all that is known for a while, as an instance has started."""
        self._retells_until = self._clock.monotonic() + RETELL_S
        for suspect in self._suspects.values():
            suspect.retold.clear()

    def report(self):
        """Returns the latest crashes seen by this instance, in the form of `merge`."""
        oldest = self._clock.monotonic() - REPORT_S
        recent = sorted(
            (suspect.crashes[crash], fingerprint, crash)
            for fingerprint, suspect in self._suspects.items()
            for crash in suspect.own & suspect.crashes.keys()
            if suspect.crashes[crash] >= oldest
        )
        report = {}
        for _, fingerprint, crash in recent[-MAX_REPORTED_CRASHES:]:
            report[fingerprint] = (*report.get(fingerprint, ()), crash)
        return report

    def known_report(self):
        """Returns what new instances have to know, in the form of `merge_known`.

        Crashes that were told least often come first, and among them those of requests
        with more crashes.
        """
        now = self._clock.monotonic()
        if now >= self._retells_until:
            return {}
        entries = [
            (suspect.retold.get(crash, 0), -len(suspect.crashes), fingerprint, crash)
            for fingerprint, suspect in self._suspects.items()
            for crash in suspect.crashes
        ]
        report = {}
        for told, _, fingerprint, crash in sorted(entries)[:MAX_RETOLD_CRASHES]:
            suspect = self._suspects[fingerprint]
            suspect.retold[crash] = told + 1
            age_s = round(now - suspect.crashes[crash], 1)
            report.setdefault(fingerprint, {})[crash] = age_s
        return report

    def sound_report(self):
        """Returns the suspected requests that this instance has lately found sound."""
        now = self._clock.monotonic()
        sound = sorted(
            (suspect.sound_at, fingerprint)
            for fingerprint, suspect in self._suspects.items()
            if suspect.sound_at is not None and now - suspect.sound_at <= SOUND_REPORT_S
        )
        return tuple(fingerprint for _, fingerprint in sound[-MAX_REPORTED_SOUND:])

    def crashes_by_name(self):
        """Returns all crashes that count: time and fingerprints by name."""
        by_name = {}
        for fingerprint, suspect in self._suspects.items():
            for crash, crashed_at in suspect.crashes.items():
                by_name.setdefault(crash, (crashed_at, []))[1].append(fingerprint)
        return by_name

    def sweep(self):
        """Forgets crashes that no longer count."""
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        for fingerprint, suspect in list(self._suspects.items()):
            suspect.expire(oldest)
            if not suspect.crashes and not suspect.cleared:
                del self._suspects[fingerprint]
