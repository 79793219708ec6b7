"""Dependencies of the service kinds."""

from dataclasses import dataclass

from amaranthbay.kernel.clock import Clock
from amaranthbay.kernel.interfaces import (
    EngineClient,
    PlacementObserver,
    PlacementPolicy,
    SlotAllocator,
)

__all__ = ["DispatchContext"]


@dataclass(frozen=True)
class DispatchContext:
    """Dependencies that a service kind needs to dispatch a request.

    Attributes:
        configuration: Function that returns the configuration in force.
        directory: `membership.BackendDirectory` of the live backend servers.
        view: Function of a service name and a `ModelCall` that returns the
            `PoolView` to place the call by.
        policy: Chooses the servers of an attempt.
        allocator: Grants slots of the decode servers.
        engine: Client of the prefill and decode engines.
        inflight: `dispatch.inflight.InFlightTable` of this daemon.
        copier: `dispatch.guards.RecordCopier` that copies in-flight records to the
            guards, the daemons that cancel the attempts if this daemon dies.
        takeovers: `dispatch.resume.Takeovers` that announces resumed attempts.
        pause_count: Function that returns how often guards may have cancelled the
            daemon's attempts; see `dispatch.pauses.PauseWatch`.
        crashes: `state.crash_marks.CrashMarks` of suspects, which are requests that
            may crash servers.
        claims: `state.isolation.SuspectClaims` that give suspects their own servers.
        deaths: `dispatch.deaths.DeathReporter` that probes servers after failures.
        cancels: `dispatch.cancels.CancelQueue` of attempts to cancel on engines.
        idempotency: `state.idempotency.IdempotencyStore` of non-idempotent calls.
        clock: Source of time.
        budget: Function of a service name that returns its `RetryBudget`.
        availability_zone: Availability zone of the daemon.
        observer: Observes the course of each placement.
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
    pause_count: object
    crashes: object
    claims: object
    deaths: object
    cancels: object
    idempotency: object
    clock: Clock
    budget: object
    availability_zone: str
    observer: PlacementObserver
