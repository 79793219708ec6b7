"""The status document of a daemon."""

__all__ = ["describe_daemon"]


def describe_daemon(daemon):
    """Returns the status of a daemon as a mapping for operators."""
    settings = daemon.settings
    membership = daemon.membership
    index = daemon.loads.index
    return {
        "instance": settings.instance,
        "availability_zone": settings.availability_zone,
        "incarnation": daemon.incarnation,
        "draining": daemon.draining,
        "config_version": daemon.config_store.version,
        "active": daemon.admission.active,
        "in_flight": len(daemon.inflight),
        "cancels_outstanding": daemon.cancels.outstanding,
        "patient_queued": len(daemon.admission.queue),
        "prefix_blocks": len(index),
        "prefix_error": index.error,
        "members": [member.instance for member in membership.live()],
        "member_states": {
            member.instance: {"state": member.state, "incarnation": member.incarnation}
            for member in membership.members()
        },
        "probe_traffic": membership.traffic(),
    }
