"""Records which daemons hold slots of the backend servers that this daemon owns."""

from dataclasses import dataclass

__all__ = ["SlotLedger"]

# Holders renew their grants more often than this; a grant that isn't renewed expires.
GRANT_TTL_S = 10.0
# A new owner counts the reported load as well for this long, since holders may not yet
# have renewed their grants with it.
REBUILD_PERIOD_S = 4.0
# Share of a server's slots up to which patient attempts get one; the rest is left to
# interactive attempts.
PATIENT_SLOT_SHARE = 0.9


@dataclass
class _Grant:
    """A slot that is taken.

    Attributes:
        holder: Instance of the daemon that holds it.
        renewed_at: Monotonic time in seconds of the last renewal.
    """

    holder: str
    renewed_at: float


class SlotLedger:
    """Grants of the slots of the servers that this daemon owns."""

    def __init__(self, reported_active, clock):
        """Creates the ledger.

        Args:
            reported_active: Function that takes an instance and returns the requests
                that run or wait on it by its newest load report.
            clock: `Clock` for the age of grants.
        """
        self._reported_active = reported_active
        self._clock = clock
        self._grants = {}
        self._owned_since = {}

    def used(self, instance):
        """Returns how many slots of a server count as taken.

        The first call for a server starts its `REBUILD_PERIOD_S`.
        """
        now = self._clock.monotonic()
        grants = self._grants.setdefault(instance, {})
        owned_since = self._owned_since.setdefault(instance, now)
        expired = [
            key for key, grant in grants.items() if now - grant.renewed_at > GRANT_TTL_S
        ]
        for attempt_id in expired:
            del grants[attempt_id]
        if now - owned_since < REBUILD_PERIOD_S:
            return max(len(grants), self._reported_active(instance))
        return len(grants)

    def grant(self, instance, attempt_id, holder, interactive, slots):
        """Grants a slot if one is free; idempotent for an attempt.

        Args:
            instance: The backend server.
            attempt_id: Attempt that needs the slot.
            holder: Instance of the daemon that runs the attempt.
            interactive: Whether the request is interactive.
            slots: Slots of the server.

        Returns:
            Whether the attempt holds a slot now.
        """
        used = self.used(instance)
        grants = self._grants[instance]
        limit = slots if interactive else slots * PATIENT_SLOT_SHARE
        if attempt_id not in grants and used + 1 > limit:
            return False
        grants[attempt_id] = _Grant(holder, self._clock.monotonic())
        return True

    def replace_grants(self, instance, attempt_ids, holder):
        """Replaces a holder's grants on a server by those that it says it holds.

        Args:
            instance: The backend server.
            attempt_ids: Attempts for which the holder holds a slot.
            holder: Instance of the daemon.
        """
        self.used(instance)
        grants = self._grants[instance]
        for attempt_id in [k for k, grant in grants.items() if grant.holder == holder]:
            del grants[attempt_id]
        now = self._clock.monotonic()
        for attempt_id in attempt_ids:
            grants[attempt_id] = _Grant(holder, now)

    def release(self, instance, attempt_id):
        """Ends a grant; idempotent."""
        self._grants.get(instance, {}).pop(attempt_id, None)

    def release_all(self, holder):
        """Ends all grants of a daemon that has died."""
        for grants in self._grants.values():
            for key in [k for k, grant in grants.items() if grant.holder == holder]:
                del grants[key]

    def forget(self, instance):
        """Drops the state of a server that another daemon owns now."""
        self._grants.pop(instance, None)
        self._owned_since.pop(instance, None)
