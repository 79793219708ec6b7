"""Lookup of the daemons that callers should use."""

import falcon

from amaranthbay.gateway.replies import write_json

__all__ = ["Lookup"]


class Lookup:
    """``GET /v1/lookup``: addresses of daemons for a service and a workspace."""

    def __init__(self, daemon):
        self._daemon = daemon

    def on_get(self, req, resp):
        service = req.get_param("service", required=True)
        workspace = req.get_param("workspace", required=True)
        zone = req.get_param("availability_zone")
        cfg = self._daemon.configuration()
        if cfg is None:
            raise falcon.HTTPServiceUnavailable(description="no configuration yet")
        members = self._daemon.lookup(service, workspace, zone)
        addresses = [
            {"address": member.address, "availability_zone": member.availability_zone}
            for member in members
        ]
        reply = {"addresses": addresses, "ttl_s": cfg.lookup_ttl_s}
        write_json(resp, reply | {"config_version": cfg.version})
