"""Retry times of refused streams, from the rate at which streams end."""

__all__ = ["ReturnTimes", "longest_retry_s"]

# Callers wait for at most this share of the time that they have left.
RETRY_TIME_SHARE = 1 / 3
MIN_RETRY_S = 0.1
# Time that is named while no rate is measured.
UNMEASURED_RETRY_S = 0.5
# Part of the freed memory that is set aside for returning callers; new ones get the
# rest.
RETURN_MEMORY_SHARE = 0.5
# Largest random addition to a retry time, as a share of it.
RETRY_SPREAD = 0.2


def longest_retry_s(left_s):
    """Returns the longest time that a caller waits before it retries.

    Args:
        left_s: Seconds until the caller's deadline.
    """
    return max(MIN_RETRY_S, RETRY_TIME_SHARE * left_s)


class ReturnTimes:
    """Gives refused callers of one service consecutive times at which to return."""

    def __init__(self):
        self._next_at = 0.0

    def retry_s(self, now, ahead, need, freed_per_s, longest_s, draw):
        """Returns the seconds after which a refused caller should retry.

        Memory is given as a share of that of one server.

        Args:
            now: Monotonic time.
            ahead: Memory that the waiting streams need.
            need: Memory that the refused stream needs.
            freed_per_s: Memory that ended streams free per second; None if unknown.
            longest_s: Longest time that the caller waits; see `longest_retry_s`.
            draw: Random number from 0 to 1 for the spread.
        """
        if not freed_per_s:
            return min(longest_s, UNMEASURED_RETRY_S * (1 + draw))
        capacity_s = max(MIN_RETRY_S, (ahead + need) / freed_per_s)
        seconds = max(capacity_s, self._next_at - now)
        if seconds * (1 + RETRY_SPREAD) > longest_s:
            # All times that the caller would wait for are given: it may return at any
            # of them.
            first_s = min(capacity_s, longest_s * (1 - RETRY_SPREAD))
            return first_s + draw * (longest_s - first_s)
        self._next_at = now + seconds + need / (RETURN_MEMORY_SHARE * freed_per_s)
        return seconds * (1 + RETRY_SPREAD * draw)
