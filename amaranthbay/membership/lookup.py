"""Order in which a caller should try the daemons."""

from amaranthbay.utils.rendezvous import rendezvous_order

__all__ = ["lookup_order"]


def lookup_order(members, service, workspace, availability_zone, region):
    """Returns the members in the order in which a workspace should use them.

    The caller's availability zone comes first, then the zones of its region, then
    the others. Zones at the same distance, and the members of a zone, are ordered by
    rendezvous hashing, so that adding or removing a member moves only the workspaces
    that use it.

    Args:
        members: Members that may get new work.
        service: Name of the service.
        workspace: Name of the workspace.
        availability_zone: Availability zone of the caller.
        region: Region of that availability zone.
    """
    by_zone = {}
    for member in members:
        zone = member.region, member.availability_zone
        by_zone.setdefault(zone, {})[member.instance] = member
    key = f"{service}|{workspace}"
    zones = rendezvous_order(key, ["|".join(zone) for zone in by_zone])
    zone_rank = {zone: position for position, zone in enumerate(zones)}

    def distance(zone):
        if zone[1] == availability_zone:
            return 0, 0
        return (1 if zone[0] == region else 2), zone_rank["|".join(zone)]

    ordered = []
    for zone in sorted(by_zone, key=distance):
        instances = rendezvous_order(key, by_zone[zone])
        ordered.extend(by_zone[zone][instance] for instance in instances)
    return tuple(ordered)
