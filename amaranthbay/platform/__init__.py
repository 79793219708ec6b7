"""Clients of the platform's services and the adapter of the entry process to it.

`http` calls the table service, the object and weight stores and the instance list.
`adapter` gives the entry process its settings, its store and its wire format.
"""

from amaranthbay.platform.types import (
    CommitOutcome,
    CommitState,
    Instance,
    PlatformFailure,
    Row,
    WeightInfo,
    Write,
)
