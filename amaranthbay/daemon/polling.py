"""How long an entry process waits between its reads of the store's tables."""

from amaranthbay.daemon.lookup import choose_watchers
from amaranthbay.fleet.tables import MAX_POLL_WAIT_S

__all__ = ["instances_batch_delay_s", "max_poll_wait_s", "servers_batch_delay_s"]

# Delays before the next read of a table after a change, so that one call reads several
# changes; otherwise each change would cost a call of each instance. Standby instances
# wait longer. In the table of backend servers, they wait for a fraction of the time
# within which a leaving server must be known; the call takes place in the rest.
SERVERS_BATCH_DELAY_S = 0.3
STANDBY_DELAY_FRACTION = 0.6
INSTANCES_BATCH_DELAY_S = 1.5
STANDBY_INSTANCES_BATCH_DELAY_S = 3.0
# Longest wait of a poll by an instance that watches the store, as a fraction of the
# time within which a configuration must be in force. In the rest, a lost poll must time
# out, before the platform expects the instance to be up to date again. If other
# instances rely on the watcher, its reports and one of their polls must fit in, too.
WATCH_FRACTION = 0.95
RELAYED_WATCH_FRACTION = 0.7


def max_poll_wait_s(settings, peers):
    """Returns the longest wait in seconds of polls for the configuration.

    An instance that doesn't watch the store learns from the reports of the watchers
    that its own poll is lost.

    Args:
        settings: `EntrySettings`.
        peers: `Peers` of the instance.
    """
    chosen = peers.chosen_instances()
    watchers = choose_watchers(chosen)
    if settings.instance not in watchers:
        return MAX_POLL_WAIT_S
    relayed = len(watchers) < len(chosen)
    fraction = RELAYED_WATCH_FRACTION if relayed else WATCH_FRACTION
    return fraction * settings.configuration_s


def servers_batch_delay_s(settings, peers):
    """Returns the delay in seconds after a change in the table of backend servers."""
    if peers.is_busy():
        return SERVERS_BATCH_DELAY_S
    return max(SERVERS_BATCH_DELAY_S, STANDBY_DELAY_FRACTION * settings.drain_s)


def instances_batch_delay_s(peers):
    """Returns the delay in seconds after a change in the table of instances."""
    if peers.is_busy():
        return INSTANCES_BATCH_DELAY_S
    return STANDBY_INSTANCES_BATCH_DELAY_S
