"""Queue of patient requests, fair between workspaces."""

from collections import OrderedDict, deque

import gevent.event

__all__ = ["FairQueue", "Ticket"]


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


class FairQueue:
    """Serves workspaces round robin, and requests of one workspace in arrival order."""

    def __init__(self):
        self._tickets_by_workspace = OrderedDict()
        self._length = 0

    def __len__(self):
        return self._length

    def enqueue(self, work):
        """Returns a new `Ticket` at the end of its workspace's queue."""
        ticket = Ticket(work)
        tickets = self._tickets_by_workspace.setdefault(work.request.workspace, deque())
        tickets.append(ticket)
        self._length += 1
        return ticket

    def peek(self):
        """Returns the next ticket without removing it, or None."""
        for tickets in self._tickets_by_workspace.values():
            return tickets[0]
        return None

    def dequeue(self):
        """Removes and returns the next ticket, and wakes its request."""
        ticket = self.peek()
        workspace = ticket.work.request.workspace
        self.remove(ticket)
        if workspace in self._tickets_by_workspace:
            self._tickets_by_workspace.move_to_end(workspace)
        ticket.dequeued.set()
        return ticket

    def tickets(self):
        """Returns all tickets as a list."""
        queues = self._tickets_by_workspace.values()
        return [ticket for tickets in queues for ticket in tickets]

    def refuse(self, ticket, refusal):
        """Removes a ticket, and wakes its request to be refused."""
        self.remove(ticket)
        ticket.refusal = refusal
        ticket.dequeued.set()

    def remove(self, ticket):
        """Removes a ticket, for example of a caller that has gone; idempotent."""
        workspace = ticket.work.request.workspace
        tickets = self._tickets_by_workspace.get(workspace, ())
        if ticket not in tickets:
            return
        tickets.remove(ticket)
        self._length -= 1
        if not tickets:
            del self._tickets_by_workspace[workspace]
