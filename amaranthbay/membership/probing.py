"""Choice of the member to probe and the outcome of recent probes."""

from dataclasses import dataclass

__all__ = ["Probe", "ProbeCycle", "ProbeHistory"]


@dataclass
class Probe:
    """The probe in progress.

    Attributes:
        instance: Member that is probed.
        number: Matches the answer.
        started: Monotonic time of the direct probe.
        indirect: Whether other members were asked to probe.
        answered: Whether an answer came.
        counted: Whether the outcome counts; not for members held for dead.
    """

    instance: str
    number: int
    started: float
    indirect: bool = False
    answered: bool = False
    counted: bool = True


class ProbeCycle:
    """Visits every member once in each round, in a new random order."""

    def __init__(self, rng):
        self._rng = rng
        self._round = []

    def add(self, instance):
        """Puts a new member at a random place of the current round."""
        if instance not in self._round:
            self._round.insert(self._rng.randint(0, len(self._round)), instance)

    def next(self, instances):
        """Returns the next of some instances, or None if there are none."""
        allowed = set(instances)
        if not allowed:
            return None
        while True:
            while self._round:
                instance = self._round.pop()
                if instance in allowed:
                    return instance
            self._round = sorted(allowed)
            self._rng.shuffle(self._round)


class ProbeHistory:
    """Newest outcome of each member that was probed a short time ago."""

    def __init__(self, window_s):
        self._window_s = window_s
        self._outcomes = {}

    def add(self, instance, answered, now):
        """Records the outcome of a probe."""
        self._outcomes.pop(instance, None)
        self._outcomes[instance] = (now, answered)

    def has_majority(self, now):
        """Returns whether most recently probed members answered.

        This daemon counts as one that answers, so that it is on the majority's
        side of a partition if at least half of the others answer it.
        """
        oldest = now - self._window_s
        recent = [found for at, found in self._outcomes.values() if at >= oldest]
        self._outcomes = {
            name: each for name, each in self._outcomes.items() if each[0] >= oldest
        }
        return 2 * (1 + sum(recent)) > 1 + len(recent)

    def clear(self):
        """Forgets all outcomes."""
        self._outcomes.clear()
