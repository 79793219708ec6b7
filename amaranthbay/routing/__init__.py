"""Routes requests by host and path to services of backend servers."""

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
