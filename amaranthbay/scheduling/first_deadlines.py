"""Tells first tries of callers from returned ones, by the deadlines that they state."""

from collections import Counter

__all__ = ["FirstDeadlines", "count_recent"]

# Number of calls, or of deadlines of a route, after which older ones count half.
MAX_COUNTED = 200
# A caller whose deadline is shorter than that of others by this has come back after a
# refusal. It is less than `plain_line.MIN_RETRY_S`, and more than the time of a
# connection.
RETURNED_AFTER_S = 0.04
# Deadlines of first tries differ by less. Those that this share of a route's callers
# state are of first tries, as returned callers have spread deadlines.
DEADLINE_STEP_S = 0.04
MIN_FIRST_SHARE = 0.25
# Callers whose deadline is shorter than that of others by a larger share haven't come
# back, but have another deadline: retries wait for at most a third of the time left.
MAX_ELAPSED_SHARE = 0.5


class FirstDeadlines:
    """Estimates how long ago callers made their first try, from their deadlines.

    Callers state the time that they have left. At the first try, many callers of a
    route state the same.
    """

    def __init__(self):
        # Number of callers by deadline in steps, by route.
        self._counts = {}

    def elapsed_s(self, route, deadline_s, now):
        """Returns the seconds since a caller's first try; 0 if this is the first.

        Args:
            route: Name of the route.
            deadline_s: Seconds for which the caller waits; None if not stated.
            now: Monotonic time.
        """
        if deadline_s is None:
            return 0.0
        counts = self._counts.setdefault(route, Counter())
        step = int(deadline_s / DEADLINE_STEP_S)
        count_recent(counts, step)
        least = MIN_FIRST_SHARE * counts.total()
        first_tries = [
            other * DEADLINE_STEP_S
            for other, count in counts.items()
            if other >= step and count >= least
        ]
        if not first_tries or counts[step] >= least:
            return 0.0
        first_s = min(first_tries)
        elapsed_s = first_s - deadline_s
        has_returned = RETURNED_AFTER_S <= elapsed_s <= MAX_ELAPSED_SHARE * first_s
        return elapsed_s if has_returned else 0.0


def count_recent(counts, key):
    """Adds one to a counter, in which older entries count less and less."""
    counts[key] += 1
    if counts.total() > MAX_COUNTED:
        for other in list(counts):
            counts[other] //= 2
            if not counts[other]:
                del counts[other]
