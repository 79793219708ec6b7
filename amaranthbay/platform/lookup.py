"""HTTP endpoints of a daemon: readiness for the platform, lookups for callers."""

import falcon
import msgspec

__all__ = ["create_lookup_app", "create_ready_app"]

# Callers ignore any further addresses of an answer.
MAX_ADDRESSES = 64


class _ReadyResource:
    def __init__(self, is_ready):
        self._is_ready = is_ready

    def on_get(self, req, resp):
        """Answers 200 while the daemon accepts new callers, else 503."""
        resp.status = falcon.HTTP_200 if self._is_ready() else falcon.HTTP_503


class _LookupResource:
    def __init__(self, find_addresses, ttl_s):
        self._find_addresses = find_addresses
        self._ttl_s = ttl_s

    def on_get(self, req, resp):
        """Answers with daemon addresses for a caller's zone; 503 if there are none."""
        zone = req.get_param("Zone", default="")
        region = req.get_param("Region", default="")
        addresses = self._find_addresses(zone, region)
        if not addresses:
            resp.status = falcon.HTTP_503
            return
        body = {"Addresses": addresses[:MAX_ADDRESSES], "TtlS": self._ttl_s}
        resp.content_type = "application/json"
        resp.data = msgspec.json.encode(body)


def create_ready_app(is_ready):
    """Returns the WSGI application of the readiness endpoint.

    Args:
        is_ready: Function without arguments that returns whether callers may connect.
    """
    app = falcon.App()
    app.add_route("/ready", _ReadyResource(is_ready))
    return app


def create_lookup_app(find_addresses, ttl_s):
    """Returns the WSGI application of the lookup endpoint.

    Args:
        find_addresses: Function of a caller's availability zone and region that
            returns a list of daemon addresses.
        ttl_s: Seconds for which callers cache the answer.
    """
    app = falcon.App()
    app.add_route("/resolve", _LookupResource(find_addresses, ttl_s))
    return app
