"""The platform's and the callers' calls to a daemon: readiness and lookups."""

import falcon
import msgspec

__all__ = ["create_lookup_app", "create_ready_app"]

# Callers count no more addresses than this.
MOST_ADDRESSES = 64


class _Ready:
    def __init__(self, is_ready):
        self._is_ready = is_ready

    def on_get(self, req, resp):
        """Answers 200 while callers may be sent here."""
        resp.status = falcon.HTTP_200 if self._is_ready() else falcon.HTTP_503


class _Lookup:
    def __init__(self, addresses, ttl_s):
        self._addresses = addresses
        self._ttl_s = ttl_s

    def on_get(self, req, resp):
        """Answers with the addresses for a caller's availability zone."""
        zone = req.get_param("Zone", default="")
        region = req.get_param("Region", default="")
        found = self._addresses(zone, region)
        if not found:
            resp.status = falcon.HTTP_503
            return
        body = {"Addresses": found[:MOST_ADDRESSES], "TtlS": self._ttl_s}
        resp.content_type = "application/json"
        resp.data = msgspec.json.encode(body)


def create_ready_app(is_ready):
    """Returns the WSGI application of the readiness address."""
    app = falcon.App()
    app.add_route("/ready", _Ready(is_ready))
    return app


def create_lookup_app(addresses, ttl_s):
    """Returns the WSGI application of the lookup address.

    Args:
        addresses: Function of availability zone and region that returns a list.
        ttl_s: Seconds for which callers keep the answer.
    """
    app = falcon.App()
    app.add_route("/resolve", _Lookup(addresses, ttl_s))
    return app
