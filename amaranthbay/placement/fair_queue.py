"""Queue of patient requests, by priority and fair between workspaces."""

from collections import Counter, OrderedDict, deque

import gevent.event

from amaranthbay.kernel.clock import SystemClock
from amaranthbay.scheduling.priorities import ClassCredits

__all__ = ["FairQueue", "Ticket"]

# The credits of this queue are not kept by service: all services share it.
CREDIT_NAME = ""
# A daemon starts less than one patient request per second on a small pool, so that the
# share of the requests that start is measured over a longer time than for streams.
SHARE_HALF_LIFE_S = 60.0
# Starts of other priorities after which a priority that waits has its turn. Credits
# come with arrivals: without new ones it would wait for the end of a flood.
MAX_PASSED_STARTS = 20


class Ticket:
    """Place of a request in the queue.

    Attributes:
        work: The queued `Work`.
        dequeued: Event that is set when the request may start, or is refused.
        refusal: `Refusal` of the request; None if it is not refused.
    """

    def __init__(self, work):
        self.work = work
        self.dequeued = gevent.event.Event()
        self.refusal = None


class _WorkspaceQueues:
    """Tickets of one priority; serves workspaces round robin."""

    def __init__(self):
        self._by_workspace = OrderedDict()

    def __len__(self):
        return sum(len(tickets) for tickets in self._by_workspace.values())

    def __iter__(self):
        for tickets in self._by_workspace.values():
            yield from tickets

    def __contains__(self, ticket):
        return ticket in self._by_workspace.get(ticket.work.request.workspace, ())

    def append(self, ticket):
        workspace = ticket.work.request.workspace
        self._by_workspace.setdefault(workspace, deque()).append(ticket)

    def first(self):
        """Returns the next ticket."""
        return next(iter(self))

    def newest(self):
        """Returns the newest ticket of the workspace with the most tickets."""
        return max(self._by_workspace.values(), key=len)[-1]

    def remove(self, ticket):
        """Removes a ticket that is in the queue."""
        workspace = ticket.work.request.workspace
        tickets = self._by_workspace[workspace]
        tickets.remove(ticket)
        if not tickets:
            del self._by_workspace[workspace]

    def move_to_end(self, workspace):
        """Lets all other workspaces go before one, which may have no tickets left."""
        if workspace in self._by_workspace:
            self._by_workspace.move_to_end(workspace)


class FairQueue:
    """Serves the most urgent priority first, and no priority less than its least share.

    Within a priority, workspaces are served round robin, and requests of one workspace
    in arrival order. The least share is that of `ClassCredits`.
    """

    def __init__(self, clock=None):
        """Creates an empty queue.

        Args:
            clock: `Clock` of the least shares; the system's clock if None.
        """
        self._clock = clock or SystemClock()
        self._credits = ClassCredits(SHARE_HALF_LIFE_S)
        # `_WorkspaceQueues` by priority; none is empty.
        self._by_priority = {}
        # Starts of others while a priority waits, by priority.
        self._passed = Counter()
        self._length = 0

    def __len__(self):
        return self._length

    def note_arrival(self, work):
        """Counts a request that is about to be queued or refused."""
        now = self._clock.monotonic()
        self._credits.note_arrived(CREDIT_NAME, work.priority, now)

    def enqueue(self, work):
        """Returns a new `Ticket` at the end of its workspace's queue."""
        ticket = Ticket(work)
        self._by_priority.setdefault(work.priority, _WorkspaceQueues()).append(ticket)
        self._length += 1
        return ticket

    def peek(self):
        """Returns the next ticket without removing it, or None."""
        if not self._by_priority:
            return None
        waiting = sorted(self._by_priority)
        overdue = [p for p in waiting if self._passed[p] >= MAX_PASSED_STARTS]
        owed = [p for p in waiting if self._owed(p)]
        return self._by_priority[(overdue or owed or waiting)[0]].first()

    def dequeue(self):
        """Removes and returns the next ticket, and wakes its request."""
        ticket = self.peek()
        work = ticket.work
        self._passed.update(self._by_priority.keys())
        self._passed[work.priority] = 0
        self.remove(ticket)
        if work.priority in self._by_priority:
            self._by_priority[work.priority].move_to_end(work.request.workspace)
        now = self._clock.monotonic()
        self._credits.note_started(CREDIT_NAME, work.priority, now)
        ticket.dequeued.set()
        return ticket

    def tickets(self):
        """Returns all tickets as a list."""
        return [ticket for queues in self._by_priority.values() for ticket in queues]

    def ticket_to_drop(self, work, is_queued=True):
        """Returns the ticket that makes way for a request in a full queue, or None.

        That is the newest one of the least urgent priority below the request's, unless
        it is owed its start. A request that is itself owed a start displaces one of the
        priority with the most tickets.

        Args:
            work: `Work` of the new request.
            is_queued: Whether the new request is for this queue, so that its priority
                can be owed a start.
        """
        for priority in sorted(self._by_priority, reverse=True):
            queues = self._by_priority[priority]
            if priority > work.priority and len(queues) > self._owed(priority):
                return queues.newest()
        others = [each for each in self._by_priority if each != work.priority]
        own = self._by_priority.get(work.priority, ())
        is_owed = is_queued and len(own) < self._owed(work.priority)
        if not others or not is_owed:
            return None
        longest = max(others, key=lambda priority: len(self._by_priority[priority]))
        return self._by_priority[longest].newest()

    def refuse(self, ticket, refusal):
        """Removes a ticket, and wakes its request to be refused."""
        self.remove(ticket)
        ticket.refusal = refusal
        ticket.dequeued.set()

    def remove(self, ticket):
        """Removes a ticket, for example of a caller that has gone; idempotent."""
        priority = ticket.work.priority
        queues = self._by_priority.get(priority, ())
        if ticket not in queues:
            return
        queues.remove(ticket)
        self._length -= 1
        if not queues:
            del self._by_priority[priority]
            del self._passed[priority]

    def _owed(self, priority):
        return self._credits.owed(CREDIT_NAME, priority)
