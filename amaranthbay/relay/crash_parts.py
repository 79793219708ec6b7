"""Finds parts of prompts that crash the decode servers that run them.

Requests share parts of their prompts. If one part crashes each server that begins an
answer on it, no two of the requests need to be alike. All streams that had just begun
on a crashed server are suspected, with all their shared parts. A part on which a
stream has completed, or goes on after its beginning, is sound, which clears it of all
crashes so far. What remains of several crashes is blocked.

Parts that have been present at the same crashes can't be told apart. A request is then
refused only if it has all of them, so that others with some of them, which may be
sound, show which part it is.
"""

import itertools
import math
from dataclasses import dataclass, field

from amaranthbay.fleet.reports import PartBlock
from amaranthbay.observe import log_event

__all__ = ["CrashingParts"]

# A part is blocked after this many crashes. The platform allows five.
CRASH_LIMIT = 3
# Shortest time between the first and the last of these crashes. Servers that fail at
# the same moment, as with their rack, all run requests with a popular part.
MIN_SPAN_S = 0.5
# Time for which a crash counts.
CRASH_LIFE_S = 60.0
# Time for which a part is blocked. Afterwards a request with it is tried; if it crashes
# its server, the time doubles, up to the maximum.
BLOCK_S = 120.0
MAX_BLOCK_S = 3600.0
# Time for which reports name a part as sound after a stream has completed on it, and
# the largest number of parts and of crashes in a report, which also has to hold loads.
SOUND_REPORT_S = 3.0
MAX_REPORTED_PARTS = 6
MAX_REPORTED_CRASHES = 8
# Largest number of blocked parts in a report, and of crashes of each.
MAX_REPORTED_BLOCKS = 4
MAX_BLOCK_CRASHES = 6
# Largest number of parts that are kept; the one suspected longest goes first, and
# blocked ones go last.
MAX_PARTS = 1000


@dataclass
class _Suspicion:
    """What is known of a suspected part; changed in place by `CrashingParts`.

    Attributes:
        crashes: Monotonic time by crash that counts.
        cleared: Monotonic time by crash that no longer counts.
        own: Number of reports by crash that this instance has seen.
        sound_at: Monotonic time at which this instance found the part sound; None if it
            hasn't.
        sound_reported_at: Monotonic time at which a report last named it as sound.
        blocked_until: Monotonic time until which the part is blocked.
        block_s: Seconds of the last block; 0 if it never was blocked.
    """

    crashes: dict = field(default_factory=dict)
    cleared: dict = field(default_factory=dict)
    own: dict = field(default_factory=dict)
    sound_at: float | None = None
    sound_reported_at: float = -math.inf
    blocked_until: float = 0.0
    block_s: float = 0.0

    def must_block(self):
        """Returns whether the crashes suffice to block the part."""
        if self.block_s:
            return bool(self.crashes)
        if len(self.crashes) < CRASH_LIMIT:
            return False
        return max(self.crashes.values()) - min(self.crashes.values()) >= MIN_SPAN_S

    def expire(self, oldest):
        """Forgets crashes before a monotonic time.

        A part that was blocked keeps its crashes: the parts that were present at the
        latest one alone would include those of other streams on the same server.
        """
        expiring = (self.cleared,) if self.block_s else (self.crashes, self.cleared)
        for crashes in expiring:
            for crash in [name for name, at in crashes.items() if at < oldest]:
                del crashes[crash]
                self.own.pop(crash, None)


class CrashingParts:
    """Suspected parts of prompts, seen by this instance or reported by others."""

    def __init__(self, clock):
        self._clock = clock
        self._suspicions = {}

    def note_crash(self, parts, crash):
        """Suspects the shared parts of a stream that had just begun at a crash.

        Args:
            parts: Names of the parts.
            crash: Name of the crash: the same at all instances, another one for each
                start of a server.
        """
        for part in parts:
            self._add(part, crash)
            self._suspicions[part].own.setdefault(crash, 0)

    def note_served(self, parts):
        """Clears the parts of a stream that has completed, or goes on for long.

        Returns:
            Tuple of those parts that were suspected.
        """
        cleared = []
        for part in parts:
            suspicion = self._suspicions.get(part)
            if suspicion is not None:
                if suspicion.crashes:
                    cleared.append(part)
                suspicion.sound_at = self._clock.monotonic()
                self._clear(part, suspicion)
        return tuple(cleared)

    def replay(self, seen_at, crash, parts):
        """Adds what was recorded before; must be called in the order of time.

        Args:
            seen_at: Monotonic time.
            crash: Name of a crash at which the parts were present; empty if they were
                found sound.
            parts: Names of the parts.
        """
        for part in parts:
            if crash:
                self._add(part, crash, seen_at)
            elif part in self._suspicions:
                self._clear(part, self._suspicions[part])

    def retell(self):
        """Reports the crashes that others have seen, as an instance has started."""
        for suspicion in self._suspicions.values():
            for crash in suspicion.crashes:
                suspicion.own[crash] = 0

    def crashes_by_name(self):
        """Returns all crashes that count: time and parts by name."""
        by_name = {}
        for part, suspicion in self._suspicions.items():
            for crash, crashed_at in suspicion.crashes.items():
                by_name.setdefault(crash, (crashed_at, []))[1].append(part)
        return by_name

    def merge(self, crashes, sound):
        """Adds what another instance has seen.

        Args:
            crashes: Names of crashes by part.
            sound: Names of parts on which streams have completed.
        """
        for part, names in crashes.items():
            for crash in names:
                self._add(part, crash)
        for part in sound:
            suspicion = self._suspicions.get(part)
            if suspicion is not None:
                self._clear(part, suspicion)

    def _add(self, part, crash, crashed_at=None):
        now = self._clock.monotonic() if crashed_at is None else crashed_at
        suspicion = self._suspicions.setdefault(part, _Suspicion())
        if crash in suspicion.cleared or crash in suspicion.crashes:
            return
        suspicion.expire(now - CRASH_LIFE_S)
        suspicion.crashes[crash] = now
        if now >= suspicion.blocked_until and suspicion.must_block():
            doubled_s = min(MAX_BLOCK_S, 2 * suspicion.block_s)
            suspicion.block_s = doubled_s or BLOCK_S
            suspicion.blocked_until = now + suspicion.block_s
            log_event(
                "prompt_part_blocked",
                level="warning",
                part=part,
                crashes=len(suspicion.crashes),
                seconds=suspicion.block_s,
                reported=False,
            )
        self._drop_oldest()

    def _drop_oldest(self):
        while len(self._suspicions) > MAX_PARTS:
            known = itertools.islice(self._suspicions.items(), MAX_PARTS)
            unblocked = (part for part, suspicion in known if not suspicion.block_s)
            oldest = next(iter(self._suspicions))
            del self._suspicions[next(unblocked, oldest)]

    def merge_blocks(self, blocks):
        """Adopts the parts that another instance refuses.

        An instance may have started after the crashes, and those that have seen them
        may be gone.

        Args:
            blocks: `PartBlock` by part.
        """
        now = self._clock.monotonic()
        for part, block in blocks.items():
            suspicion = self._suspicions.setdefault(part, _Suspicion())
            new = [crash for crash in block.crashes if crash not in suspicion.cleared]
            if not new:
                continue
            for crash in new:
                suspicion.crashes.setdefault(crash, now)
            block_s = min(block.block_s, MAX_BLOCK_S)
            suspicion.block_s = max(suspicion.block_s, block_s)
            until = now + min(block.left_s, block_s)
            if now >= suspicion.blocked_until and now < until:
                log_event(
                    "prompt_part_blocked",
                    level="warning",
                    part=part,
                    crashes=len(suspicion.crashes),
                    seconds=round(until - now, 1),
                    reported=True,
                )
            suspicion.blocked_until = max(suspicion.blocked_until, until)
        self._drop_oldest()

    def _clear(self, part, suspicion):
        now = self._clock.monotonic()
        if suspicion.blocked_until > now:
            log_event("prompt_part_cleared", part=part, crashes=len(suspicion.crashes))
        suspicion.cleared.update(dict.fromkeys(suspicion.crashes, now))
        suspicion.crashes.clear()
        suspicion.blocked_until = suspicion.block_s = 0.0

    def is_blocked(self, parts):
        """Returns whether requests with these shared parts are refused."""
        now = self._clock.monotonic()
        return self._has_all_suspects(parts, lambda known: now < known.blocked_until)

    def was_blocked(self, parts):
        """Returns whether requests with these shared parts are or were refused.

        Once the block has ended, one of them shows whether the parts are sound.
        """
        return self._has_all_suspects(parts, lambda known: known.block_s > 0)

    def _has_all_suspects(self, parts, condition):
        """Returns whether parts include all that were present at some crashes.

        Args:
            parts: Names of the parts.
            condition: Function of the `_Suspicion` of a part that returns whether its
                crashes are compared.
        """
        if not self._suspicions:
            return False
        checked = set()
        for part in parts:
            suspicion = self._suspicions.get(part)
            if suspicion is None or not condition(suspicion):
                continue
            # Long prompts have hundreds of parts, most of them present together.
            crashes = frozenset(suspicion.crashes)
            if crashes in checked:
                continue
            checked.add(crashes)
            if self._present_at(suspicion.crashes) <= set(parts):
                return True
        return False

    def _present_at(self, crashes):
        """Returns the parts that were present at all of some crashes."""
        return {
            part
            for part, suspicion in self._suspicions.items()
            if suspicion.crashes.keys() >= crashes.keys()
        }

    def crash_report(self):
        """Returns the crashes that this instance has seen, in the form of `merge`.

        Those that were reported least often come first, so that all are reported in
        turn, and among them those of parts with more crashes.
        """
        oldest = self._clock.monotonic() - CRASH_LIFE_S
        entries = [
            (suspicion.own[crash], -len(suspicion.crashes), part, crash)
            for part, suspicion in self._suspicions.items()
            for crash in suspicion.own.keys() & suspicion.crashes.keys()
            if suspicion.crashes[crash] >= oldest
        ]
        report = {}
        for _, _, part, crash in sorted(entries)[:MAX_REPORTED_CRASHES]:
            self._suspicions[part].own[crash] += 1
            report[part] = (*report.get(part, ()), crash)
        return report

    def block_report(self):
        """Returns the `PartBlock` of the parts blocked last, by part."""
        now = self._clock.monotonic()
        blocked = sorted(
            (suspicion.blocked_until, part)
            for part, suspicion in self._suspicions.items()
            if now < suspicion.blocked_until
        )
        return {
            part: PartBlock(
                round(blocked_until - now, 1),
                self._suspicions[part].block_s,
                tuple(sorted(self._suspicions[part].crashes)[:MAX_BLOCK_CRASHES]),
            )
            for blocked_until, part in blocked[-MAX_REPORTED_BLOCKS:]
        }

    def sound_report(self):
        """Returns the suspected parts that this instance has lately found sound.

        Those reported longest ago come first, so that all are reported in turn, and
        among them those that have been present at more crashes.
        """
        now = self._clock.monotonic()
        sound = [
            (suspicion.sound_reported_at, -len(suspicion.cleared), part)
            for part, suspicion in self._suspicions.items()
            if suspicion.sound_at is not None
            and now - suspicion.sound_at <= SOUND_REPORT_S
        ]
        report = tuple(part for _, _, part in sorted(sound)[:MAX_REPORTED_PARTS])
        for part in report:
            self._suspicions[part].sound_reported_at = now
        return report

    def sweep(self):
        """Forgets crashes and parts that no longer count."""
        now = self._clock.monotonic()
        for part, suspicion in list(self._suspicions.items()):
            if now < suspicion.blocked_until:
                continue
            if now >= suspicion.blocked_until + MAX_BLOCK_S:
                suspicion.block_s = 0.0
            suspicion.expire(now - CRASH_LIFE_S)
            if not suspicion.crashes and not suspicion.cleared:
                del self._suspicions[part]
