"""Queue of patient requests, fair between workspaces."""

from collections import OrderedDict, deque

import gevent.event

__all__ = ["FairQueue", "Ticket"]


class Ticket:
    """A place in the queue."""

    def __init__(self, work):
        self.work = work
        self.called = gevent.event.Event()


class FairQueue:
    """Serves the workspaces in turn, and each workspace in order of arrival."""

    def __init__(self):
        self._workspaces = OrderedDict()
        self._length = 0

    def __len__(self):
        return self._length

    def join(self, work):
        """Returns a new `Ticket` at the end of its workspace's queue."""
        ticket = Ticket(work)
        tickets = self._workspaces.setdefault(work.request.workspace, deque())
        tickets.append(ticket)
        self._length += 1
        return ticket

    def head(self):
        """Returns the next ticket without removing it, or None."""
        for tickets in self._workspaces.values():
            return tickets[0]
        return None

    def call_head(self):
        """Removes and returns the next ticket and wakes its request."""
        ticket = self.head()
        workspace = ticket.work.request.workspace
        self.leave(ticket)
        if workspace in self._workspaces:
            self._workspaces.move_to_end(workspace)
        ticket.called.set()
        return ticket

    def leave(self, ticket):
        """Gives up a place, for example because the caller has gone; repeatable."""
        workspace = ticket.work.request.workspace
        tickets = self._workspaces.get(workspace, ())
        if ticket not in tickets:
            return
        tickets.remove(ticket)
        self._length -= 1
        if not tickets:
            del self._workspaces[workspace]
