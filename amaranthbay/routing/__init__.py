"""Routes by host and path, the services behind them, and their limits."""

from amaranthbay.routing.table import RoutingTable
from amaranthbay.routing.types import (
    BackendServer,
    CallKind,
    ClientLimits,
    Engine,
    EntryRevision,
    Route,
    Service,
    Stage,
    WeightedService,
)
