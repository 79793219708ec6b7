"""What the answers of backend servers say of the servers themselves."""

__all__ = ["note_traits"]


def note_traits(ctx, report_to_chosen, server_name, traits, sent_at):
    """Processes what an answer of a backend server says of the server itself.

    Args:
        ctx: `RelayContext`.
        report_to_chosen: Function that sends a report to the chosen instances at once.
        server_name: Name of the server.
        traits: `AnswerTraits` of the answer.
        sent_at: Monotonic time at which the request was sent; None if the answer
            belongs to an earlier request.
    """
    if traits.leaving and not traits.misdirected:
        if ctx.backends.mark_leaving(server_name):
            report_to_chosen()
    if traits.pause_s is not None:
        ctx.pauses.note_pause(server_name, traits.pause_s)
    if traits.limit_per_s is not None and not traits.misdirected:
        ctx.limits.note_limit(server_name, traits.limit_per_s)
    elif traits.stamped and sent_at is not None:
        ctx.limits.note_unlimited(server_name, sent_at)
