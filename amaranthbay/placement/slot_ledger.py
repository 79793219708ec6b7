"""Slots of the backend servers that one daemon owns, and who holds them."""

from dataclasses import dataclass

__all__ = ["SlotLedger"]

# A holder repeats its grants more often than this; silence ends them.
GRANT_LIFE_S = 10.0
# Until then a new owner also trusts the load report, since it may not yet have
# heard of all holders.
REBUILD_S = 4.0
# Patient attempts leave this share of the slots to interactive ones.
PATIENT_SHARE = 0.9


@dataclass
class _Grant:
    holder: str
    at: float


class SlotLedger:
    """Grants of the servers that this daemon owns."""

    def __init__(self, reported_active, clock):
        """Creates the ledger.

        Args:
            reported_active: Function of an instance that returns the requests
                it runs by its newest report.
            clock: `Clock`.
        """
        self._reported_active = reported_active
        self._clock = clock
        self._grants = {}
        self._since = {}

    def used(self, instance):
        """Returns the slots of a server that count as taken."""
        now = self._clock.monotonic()
        grants = self._grants.setdefault(instance, {})
        since = self._since.setdefault(instance, now)
        stale = [key for key, each in grants.items() if now - each.at > GRANT_LIFE_S]
        for attempt_id in stale:
            del grants[attempt_id]
        if now - since < REBUILD_S:
            return max(len(grants), self._reported_active(instance))
        return len(grants)

    def grant(self, instance, attempt_id, holder, interactive, slots):
        """Returns whether the holder gets a slot; repeatable for an attempt."""
        used = self.used(instance)
        grants = self._grants[instance]
        limit = slots if interactive else slots * PATIENT_SHARE
        if attempt_id not in grants and used + 1 > limit:
            return False
        grants[attempt_id] = _Grant(holder, self._clock.monotonic())
        return True

    def hold(self, instance, attempt_ids, holder):
        """Takes over what a holder says it holds; replaces its earlier grants."""
        self.used(instance)
        grants = self._grants[instance]
        for attempt_id in [k for k, each in grants.items() if each.holder == holder]:
            del grants[attempt_id]
        now = self._clock.monotonic()
        for attempt_id in attempt_ids:
            grants[attempt_id] = _Grant(holder, now)

    def release(self, instance, attempt_id):
        """Ends a grant; repeatable."""
        self._grants.get(instance, {}).pop(attempt_id, None)

    def end_holder(self, holder):
        """Ends all grants of a daemon that has died."""
        for grants in self._grants.values():
            for key in [k for k, each in grants.items() if each.holder == holder]:
                del grants[key]

    def disown(self, instance):
        """Forgets a server that another daemon owns now."""
        self._grants.pop(instance, None)
        self._since.pop(instance, None)
