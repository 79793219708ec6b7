"""Which callers lose when memory or places for connections run short."""

from dataclasses import dataclass

from amaranthbay.ingress.progress import SOON_S

__all__ = ["Holder", "choose_for_memory", "choose_for_place"]

# Weight of a response that is being read: its request has run, so that its loss costs
# more than that of a request that is still arriving.
RESPONSE_WEIGHT = 0.25


@dataclass(frozen=True)
class Holder:
    """One holder of memory or of a place, as it is now.

    Attributes:
        owner: What is dropped.
        held_bytes: Bytes that it holds.
        wait_s: Seconds until it is expected to be done; None for an answer of a backend
            server that is still being read.
        is_response: Whether it is a response that a caller reads.
        address_places: Places that its address holds.
    """

    owner: object
    held_bytes: int = 0
    wait_s: float | None = None
    is_response: bool = False
    address_places: int = 1


def choose_for_memory(holders, needed_bytes, spare_bytes=0):
    """Returns the holders that lose their memory, the first of them first.

    Callers that hold most bytes for the longest expected time lose first, unless they
    are soon done. Then come the largest answers of backend servers, whose requests have
    been forwarded, and last the callers that are soon done.

    Args:
        holders: Sequence of `Holder`.
        needed_bytes: Bytes that must be freed.
        spare_bytes: Further bytes that slow callers free, so that the next need
            doesn't follow at once.

    Examples:
        >>> slow, quick = Holder("slow", 100, 5.0), Holder("quick", 900, 0.1)
        >>> [each.owner for each in choose_for_memory([quick, slow], 50)]
        ['slow']
    """
    chosen, freed_bytes = [], 0
    for holder in sorted(holders, key=_memory_order):
        spares = spare_bytes if _is_slow(holder) else 0
        if freed_bytes >= needed_bytes + spares:
            break
        chosen.append(holder)
        freed_bytes += holder.held_bytes
    return chosen


def _memory_order(holder):
    if holder.wait_s is None:
        return 1, -holder.held_bytes
    return (0 if _is_slow(holder) else 2), -holder.held_bytes * _weighted_s(holder)


def _is_slow(holder):
    return holder.wait_s is not None and holder.wait_s >= SOON_S


def _weighted_s(holder):
    return holder.wait_s * (RESPONSE_WEIGHT if holder.is_response else 1.0)


def choose_for_place(holders, most, is_spared=lambda owner: False):
    """Returns the holders that lose their place, the first of them first.

    The expected time of a holder counts as often as its address has places, so that one
    address can't displace the callers of others.

    Args:
        holders: Sequence of `Holder`.
        most: Largest number that is chosen. Only the first may be soon done.
        is_spared: Function that tells for an owner whether it must not be chosen. It is
            called only for those that would be chosen, as it may be expensive.

    Examples:
        >>> holders = [Holder("a", 0, 3.0), Holder("b", 0, 2.0, address_places=9)]
        >>> [each.owner for each in choose_for_place(holders, 1)]
        ['b']
    """
    chosen = []
    for holder in sorted(holders, key=_place_cost, reverse=True):
        if len(chosen) >= most:
            break
        if (not chosen or _is_slow(holder)) and not is_spared(holder.owner):
            chosen.append(holder)
    return chosen


def _place_cost(holder):
    return _weighted_s(holder) * holder.address_places
