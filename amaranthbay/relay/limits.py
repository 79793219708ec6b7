"""Limits that backend servers name for the requests of all instances together."""

from amaranthbay.observe import log_event

__all__ = ["ServerLimits"]


class ServerLimits:
    """Limits in force, by server.

    A server in trouble names its limit in each answer for as long as the limit holds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._rates_per_s = {}
        self._named_at = {}

    def rate_per_s(self, server_name):
        """Returns the requests per second that a server takes; None for no limit."""
        return self._rates_per_s.get(server_name)

    def note_limit(self, server_name, rate_per_s):
        """Records a limit that a server has named.

        Args:
            server_name: Name of the server.
            rate_per_s: Requests per second that it takes from all instances together.
        """
        self._named_at[server_name] = self._clock.monotonic()
        known_rate = self._rates_per_s.get(server_name)
        if rate_per_s == known_rate:
            return
        self._rates_per_s[server_name] = rate_per_s
        log_event(
            "limit_named",
            level="warning",
            backend_server=server_name,
            limit_per_s=rate_per_s,
            previous=known_rate,
        )

    def note_unlimited(self, server_name, sent_at):
        """Records that a server has answered without a limit.

        Answers may overtake each other. The limit ends only if the request was sent
        after the last answer that named it.

        Args:
            server_name: Name of the server.
            sent_at: Monotonic time at which the request was sent.
        """
        if server_name not in self._rates_per_s:
            return
        if sent_at <= self._named_at[server_name]:
            return
        rate_per_s = self._rates_per_s.pop(server_name)
        held_s = self._clock.monotonic() - self._named_at.pop(server_name)
        log_event(
            "limit_ended",
            backend_server=server_name,
            limit_per_s=rate_per_s,
            last_named_s=round(held_s, 3),
        )
