"""Clients of the platform and the adapter of the entry process to it.

Two programs use this package, each with its own API of the platform. The daemon process
calls the table service, the object and weight stores and the instance list with the
clients in `http`. The entry process gets its settings, its store and its wire format
from `adapter`; the client of that store is in `rows`.
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
