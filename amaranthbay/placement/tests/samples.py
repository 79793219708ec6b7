"""Sample views, demands and requests for the placement tests."""

from amaranthbay.dispatch.types import ModelCall
from amaranthbay.kernel.requests import BackendServer, CallerRequest, Work
from amaranthbay.placement.types import Demand, PoolView, ServerView

__all__ = ["demand", "pool", "server", "view", "work"]


def server(name, role="prefill", zone="zone-a", leaving=False):
    """Returns a backend server."""
    return BackendServer(name, role, role, "127.0.0.1:1", zone, leaving)


def view(name, role="prefill", zone="zone-a", leaving=False, **fields):
    """Returns the view of a backend server."""
    return ServerView(server(name, role, zone, leaving), **fields)


def pool(prefill, decode, **fields):
    """Returns a snapshot of the pools for a daemon in zone-a."""
    return PoolView(tuple(prefill), tuple(decode), "zone-a", **fields)


def demand(tokens=1000, remaining_s=1.3, interactive=True, **fields):
    """Returns the demand of an interactive or patient request."""
    remaining_s = remaining_s if interactive else None
    return Demand(tokens, 100, interactive, remaining_s, **fields)


def work(name, workspace="ws-1", interactive=False, tokens=1000):
    """Returns the `Work` of a model call with the request id ``name``."""
    call = ModelCall("summary", "x" * (4 * tokens), 100, True)
    request = CallerRequest(name, "summary", workspace, "desk", call)
    return Work(request, interactive, 1.3 if interactive else None, True, 0.0)
