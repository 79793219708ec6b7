"""Shares of the requests and of the time of a run that were served.

Callers repeat a request that is refused, or that reaches a process which is down,
within 0.15 s, and wait longer for an answer. The number of requests without an answer
therefore grows with the speed of the machine, and with the time in which processes
start. So requests are counted by slots of time of which each has the same weight.
"""

from collections import defaultdict

__all__ = ["answering_share", "lowest_answering_share", "served_share"]

SLOT_S = 0.5


def served_share(exchanges, processes):
    """Returns the share of requests to serving processes that were answered.

    It is the mean over all slots and kinds of requests. Requests that crash servers,
    those that were abandoned and those to a process that was not up from their start to
    their end don't count.

    Args:
        exchanges: Each `Exchange` of the callers.
        processes: `EntryProcess` by name.
    """
    cells = defaultdict(list)
    for exchange in exchanges:
        if exchange.abandoned or exchange.crashing:
            continue
        process = processes[exchange.process]
        if process.was_up(exchange.sent_at, exchange.ended_at):
            cell = exchange.kind, _slot(exchange.sent_at)
            cells[cell].append(_is_answered(exchange))
    shares = [sum(answered) / len(answered) for answered in cells.values()]
    return sum(shares) / len(shares) if shares else 0.0


def answering_share(exchanges):
    """Returns the share of the slots in which at least one request was answered.

    Args:
        exchanges: Each `Exchange` of the callers.
    """
    slots = _count_slots(exchanges)
    return len(_answering_slots(exchanges)) / slots if slots else 0.0


def lowest_answering_share(exchanges, processes):
    """Returns the share of the slots in which a process answered, for the process of
    which it is the lowest.

    It also counts the time in which a process starts, and that in which others answer
    in its place.

    Args:
        exchanges: Each `Exchange` of the callers.
        processes: Names of the processes.
    """
    slots = _count_slots(exchanges)
    if not slots:
        return 0.0
    by_process = defaultdict(list)
    for exchange in exchanges:
        by_process[exchange.process].append(exchange)
    return min(len(_answering_slots(by_process[name])) for name in processes) / slots


def _count_slots(exchanges):
    """Returns the number of slots from the first request to the last answer."""
    if not exchanges:
        return 0
    first = min(_slot(exchange.sent_at) for exchange in exchanges)
    last = max(_slot(exchange.ended_at) for exchange in exchanges)
    return last - first + 1


def _answering_slots(exchanges):
    return {_slot(each.ended_at) for each in exchanges if _is_answered(each)}


def _slot(moment):
    return int(moment // SLOT_S)


def _is_answered(exchange):
    return exchange.status == 200 and exchange.complete and not exchange.crashing
