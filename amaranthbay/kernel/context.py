"""Collaborators that service kinds share."""

from dataclasses import dataclass

from amaranthbay.kernel.clock import Clock
from amaranthbay.kernel.interfaces import (
    EngineClient,
    PlacementPolicy,
    SlotAllocator,
)

__all__ = ["DispatchContext"]


@dataclass(frozen=True)
class DispatchContext:
    """What a service kind needs to dispatch a request.

    Attributes:
        configuration: Function that returns the configuration in force.
        directory: `membership.BackendDirectory`.
        view: Function of a service and a `ModelCall` that returns a `PoolView`.
        policy: Placement policy.
        allocator: Slot allocator.
        engine: Engine client.
        inflight: `dispatch.inflight.InFlightTable`.
        copier: `dispatch.guards.RecordCopier`.
        takeovers: `dispatch.resume.Takeovers`.
        pauses: Function that returns the number of long pauses of the daemon.
        crashes: `state.crash_marks.CrashMarks`.
        claims: `state.isolation.SuspectClaims`.
        deaths: `dispatch.deaths.DeathReporter`.
        cancels: `dispatch.cancels.CancelQueue`.
        idempotency: `state.idempotency.IdempotencyStore`.
        clock: Clock.
        budget: Function of a service name that returns its `RetryBudget`.
        availability_zone: Where the daemon runs.
    """

    configuration: object
    directory: object
    view: object
    policy: PlacementPolicy
    allocator: SlotAllocator
    engine: EngineClient
    inflight: object
    copier: object
    takeovers: object
    pauses: object
    crashes: object
    claims: object
    deaths: object
    cancels: object
    idempotency: object
    clock: Clock
    budget: object
    availability_zone: str
