"""Clients of the platform: table service, object and weight store, instances."""

from amaranthbay.platform.types import (
    CommitOutcome,
    CommitState,
    Instance,
    PlatformFailure,
    Row,
    WeightInfo,
    Write,
)
