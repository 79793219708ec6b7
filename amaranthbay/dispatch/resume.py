"""Resumes an attempt that was started by another daemon."""

import re
from dataclasses import dataclass

from result import Err, Ok

from amaranthbay.dispatch.guard_messages import AttemptTakenOver
from amaranthbay.dispatch.guards import guards_of
from amaranthbay.dispatch.holds import EngineHold, StartedStream
from amaranthbay.dispatch.streams import MatchedStream, first_event
from amaranthbay.kernel.attempt_ids import is_bound_to
from amaranthbay.kernel.errors import Reason, may_have_run
from amaranthbay.kernel.requests import Attempt

__all__ = ["ResumePoint", "Takeovers", "resume_attempt"]

_TOKEN = re.compile(r"([0-9a-f]{32})/([^/]{1,64})/([^/]{1,64})")


@dataclass(frozen=True)
class ResumePoint:
    """Where an answer can be continued; callers see it as an opaque token.

    Attributes:
        attempt_id: Id of the attempt; bound to the workspace if callers need a key.
        server: Instance of the attempt's decode server.
        origin: Instance of the daemon that the caller received the answer from.
    """

    attempt_id: str
    server: str
    origin: str

    def encode(self):
        """Returns the token.

        Examples:
            >>> ResumePoint("0" * 32, "decode-1", "entry-1").encode()[-17:]
            '/decode-1/entry-1'
        """
        return f"{self.attempt_id}/{self.server}/{self.origin}"

    @classmethod
    def decode(cls, token):
        """Returns the point that a token encodes; None if it is malformed."""
        match = _TOKEN.fullmatch(token)
        return cls(*match.groups()) if match else None


class Takeovers:
    """Announces to guards which attempts this daemon continues.

    The guards would otherwise cancel them if the previous daemon is proven dead.
    """

    def __init__(self, membership, channel, guarded):
        """Creates the sender of the announcements.

        Args:
            membership: `Membership` from which the guards are chosen.
            channel: `PeerChannel` to the guards.
            guarded: `GuardedRecords` of this daemon, which may be a guard itself.
        """
        self._membership = membership
        self._channel = channel
        self._guarded = guarded

    @property
    def own_instance(self):
        """Instance of this daemon."""
        return self._membership.own().instance

    def announce(self, point):
        """Tells the guards of the attempt's previous daemon that it is continued."""
        message = AttemptTakenOver(point.attempt_id)
        for instance in guards_of(point.origin, self._membership.live()):
            if instance == self.own_instance:
                self._guarded.take_over(point.attempt_id)
            else:
                self._channel.send(instance, message)


def resume_attempt(ctx, work, pools):
    """Resumes the attempt that the call's resume token names.

    Args:
        ctx: `DispatchContext`.
        work: `Work` of a `ModelCall` with a resume token.
        pools: Names of the pools of the service.

    Returns:
        ``Result[tuple[StartedStream, str], Refusal]``: the stream and the token to
        resume it with.
    """
    call = work.request.payload
    point = _resume_point(work)
    server = ctx.directory.find(point.server) if point else None
    if server is None or server.role != "decode" or server.pool not in pools:
        detail = "the attempt to continue is not known"
        return Err(may_have_run(Reason.STREAM_BROKEN, detail, status=409))
    attempt = Attempt(work.request.request_id, point.attempt_id, 1)
    hold = EngineHold(ctx, attempt, (server,))
    handed_over = False
    try:
        hold.enter()
        ctx.takeovers.announce(point)
        opened = ctx.engine.resume(server, attempt, call.offset)
        if opened.is_err():
            detail = opened.unwrap_err().detail
            return Err(may_have_run(Reason.STREAM_BROKEN, detail, status=409))
        stream = MatchedStream(
            ctx.engine,
            server,
            attempt,
            opened.unwrap(),
            ctx.clock,
            call.offset,
            ctx.pause_count,
        )
        first = first_event(stream)
        if first.is_err():
            return first
        hold.started(server)
        resume_point = ResumePoint(
            point.attempt_id, point.server, ctx.takeovers.own_instance
        )
        handed_over = True
        return Ok((StartedStream(stream, first.unwrap(), hold), resume_point.encode()))
    finally:
        if not handed_over:
            hold.release()


def _resume_point(work):
    """Returns the point to continue at; None if the caller may not continue there."""
    point = ResumePoint.decode(work.request.payload.resume_token)
    if point is None or work.workspace is None:
        return point
    return point if is_bound_to(point.attempt_id, work.workspace) else None
