"""Queries about the pools in the configuration and about the instance list."""

__all__ = ["PoolQueries"]

DEFAULT_CRASH_LIMIT = 2


class PoolQueries:
    """Answers queries from the configuration in force and the instance list."""

    def __init__(self, configuration, directory):
        """Creates the queries.

        Args:
            configuration: Function that returns the configuration in force, or None.
            directory: `membership.BackendDirectory` with the instance list.
        """
        self._configuration = configuration
        self._directory = directory

    def pools(self):
        """Returns the names of all pools; none without a configuration."""
        cfg = self._configuration()
        return [pool.name for pool in cfg.pools] if cfg else []

    def slots_of(self, server):
        """Returns how many requests a backend server may hold at once."""
        pool = self._configuration().pool(server.pool)
        return pool.slots if pool else 1

    def prefill_count(self):
        """Returns the number of prefill servers that may get new work."""
        return len(self._directory.servers(self.pools(), "prefill"))

    def daemon_count(self):
        """Returns the number of daemons in the instance list, at least 1."""
        return max(1, len(self._directory.daemons()))

    def listed_daemons(self):
        """Returns the names of all daemons in the instance list."""
        return [entry.instance for entry in self._directory.daemons()]

    def live_daemons(self):
        """Returns the names of the daemons that the instance list shows as live."""
        daemons = self._directory.daemons()
        return [entry.instance for entry in daemons if entry.state == "live"]

    def crash_limit(self):
        """Returns how many backend servers one request may crash."""
        cfg = self._configuration()
        return cfg.crash_limit if cfg else DEFAULT_CRASH_LIMIT
