"""Priorities of a service's requests, and the least share of each of them."""

from amaranthbay.scheduling.rates import DecayingSum

__all__ = ["ClassCredits", "ServicePriorities", "priority_rank", "request_urgency"]

# Range of the urgency that model servers read.
MAX_URGENCY = 9
# Least share of a priority's streams that start, relative to the share of all streams.
# Callers need a quarter; the rest covers streams that start but are lost.
LEAST_RELATIVE_SHARE = 0.4
# Time over which the share of all streams is measured.
SHARE_HALF_LIFE_S = 5.0
# Most starts that a priority can be owed, so that a class whose streams were all late
# for a while doesn't displace the others afterwards.
MAX_CREDIT = 3.0


class ServicePriorities:
    """Priorities that the requests of each service can have."""

    def __init__(self, read_table):
        """Creates the view.

        Args:
            read_table: Function that returns the `RoutingTable` in force, or None.
        """
        self._read_table = read_table
        self._table = None
        self._by_service = {}

    def of(self, service):
        """Returns the different priorities of a service in ascending order.

        Args:
            service: Name of the service.
        """
        table = self._read_table()
        if table is not self._table:
            self._table = table
            self._by_service = _priorities_by_service(table) if table else {}
        return self._by_service.get(service, ())


def _priorities_by_service(table):
    workspaces = () if table.workspaces is None else table.workspaces.all()
    of_workspaces = {workspace.priority for workspace in workspaces}
    by_service = {}
    for route in table.routes:
        own = route.priority
        ranks = {own if rank is None else rank for rank in of_workspaces or {None}}
        if route.public:
            ranks.add(own)
        for share in route.services:
            found = by_service.setdefault(share.service, set())
            found.update((rank, own) for rank in ranks)
    return {service: tuple(sorted(found)) for service, found in by_service.items()}


def request_urgency(priority, priorities):
    """Returns the urgency that a model server is told, or None to tell it none.

    Args:
        priority: Priority of the request; 0 is the highest.
        priorities: Different priorities of the service's requests, in ascending order.

    Examples:
        >>> [request_urgency(priority, (0, 3, 20)) for priority in (0, 3, 20)]
        [0, 1, 2]
        >>> request_urgency(3, (3,)) is None
        True
    """
    rank = priority_rank(priority, priorities)
    return None if rank is None else min(MAX_URGENCY, rank)


def priority_rank(priority, priorities):
    """Returns the position of a priority among those of a service, from 0.

    Args:
        priority: Priority of the request.
        priorities: Different priorities of the service's requests, in ascending order.

    Returns:
        None if the service has less than two priorities.
    """
    if len(priorities) < 2:
        return None
    return sum(other < priority for other in priorities)


class ClassCredits:
    """Starts that each priority is owed, so that no priority starves.

    With each arrival, its priority gains a part of the share of all streams that start.
    A start uses up one credit. Credit below 0 isn't kept: the starts of a calm time
    don't count against the streams of the next burst.
    """

    def __init__(self, half_life_s=SHARE_HALF_LIFE_S):
        """Creates the credits.

        Args:
            half_life_s: Half-life of the counts by which the share of all streams is
                measured; it should cover many starts.
        """
        self._half_life_s = half_life_s
        # Credit by name of the service and priority.
        self._credits = {}
        self._arrived = {}
        self._started = {}

    def note_arrived(self, service, priority, now):
        """Records a new stream that needs servers.

        Args:
            service: Name of the service.
            priority: Priority of the stream.
            now: Monotonic time.
        """
        self._sum_of(self._arrived, service).add(1.0, now)
        gain = LEAST_RELATIVE_SHARE * self._started_share(service, now)
        credit = self._credits.get((service, priority), 0.0) + gain
        self._credits[service, priority] = min(MAX_CREDIT, credit)

    def note_started(self, service, priority, now):
        """Records that a new stream starts; the arguments are as for `note_arrived`.

        Returns:
            The credit that the start has used up.
        """
        self._sum_of(self._started, service).add(1.0, now)
        credit = self._credits.get((service, priority), 0.0)
        used = min(1.0, credit)
        self._credits[service, priority] = credit - used
        return used

    def note_not_started(self, service, priority, used, now):
        """Records that a stream waits again, as its server had no room after all.

        Args:
            service: Name of the service.
            priority: Priority of the stream.
            used: Credit that its start has used up. More than that is not given back:
                a class whose servers are full would go before more urgent ones.
            now: Monotonic time.
        """
        self._sum_of(self._started, service).add(-1.0, now)
        credit = self._credits.get((service, priority), 0.0)
        self._credits[service, priority] = min(MAX_CREDIT, credit + used)

    def owed(self, service, priority):
        """Returns the number of whole starts that a priority is owed."""
        return int(self._credits.get((service, priority), 0.0))

    def _sum_of(self, sums, service):
        return sums.setdefault(service, DecayingSum(self._half_life_s))

    def _started_share(self, service, now):
        arrived = self._sum_of(self._arrived, service).value(now)
        started = self._sum_of(self._started, service).value(now)
        # More starts may be taken back than are still counted.
        return max(0.0, min(1.0, started / arrived))
