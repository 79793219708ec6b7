"""Selection of the member to probe, and outcomes of recent probes."""

from dataclasses import dataclass

__all__ = ["Probe", "ProbeCycle", "ProbeHistory"]


@dataclass
class Probe:
    """The probe in progress.

    Attributes:
        instance: Member that is probed.
        number: Probe number, which matches an answer to this probe.
        started_at: Monotonic time in seconds of the direct probe.
        indirect: Whether other members were asked to probe the member.
        answered: Whether an answer has arrived.
        counted: Unused; always True.
    """

    instance: str
    number: int
    started_at: float
    indirect: bool = False
    answered: bool = False
    counted: bool = True


class ProbeCycle:
    """Visits every member once per round, each round in a new random order."""

    def __init__(self, rng):
        self._rng = rng
        self._round = []

    def add(self, instance):
        """Inserts a new member at a random position of the current round."""
        if instance not in self._round:
            self._round.insert(self._rng.randint(0, len(self._round)), instance)

    def next(self, instances):
        """Returns the next of the given instances, or None if there are none."""
        candidates = set(instances)
        if not candidates:
            return None
        while True:
            while self._round:
                instance = self._round.pop()
                if instance in candidates:
                    return instance
            self._round = sorted(candidates)
            self._rng.shuffle(self._round)


class ProbeHistory:
    """Holds the latest probe outcome of each member within a time window."""

    def __init__(self, window_s):
        self._window_s = window_s
        self._outcomes = {}

    def add(self, instance, answered, now):
        """Records the outcome of a probe."""
        self._outcomes.pop(instance, None)
        self._outcomes[instance] = (now, answered)

    def has_majority(self, now):
        """Returns whether a majority of the recently probed members answered.

        This daemon counts as a member that answered. It is therefore on the
        majority side of a partition if at least half of the others answer it.
        """
        window_start = now - self._window_s
        recent = [
            answered
            for probed_at, answered in self._outcomes.values()
            if probed_at >= window_start
        ]
        self._outcomes = {
            instance: outcome
            for instance, outcome in self._outcomes.items()
            if outcome[0] >= window_start
        }
        return 2 * (1 + sum(recent)) > 1 + len(recent)

    def clear(self):
        """Forgets all outcomes."""
        self._outcomes.clear()
