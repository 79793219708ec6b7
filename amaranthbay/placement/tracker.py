"""What a daemon knows about the engines: reports, own placements, cache events."""

import gevent
import msgspec

from amaranthbay.kernel.interfaces import PlacementObserver
from amaranthbay.placement.loads import LoadReport, ServerLoad
from amaranthbay.placement.prefix_index import PrefixIndex
from amaranthbay.placement.speeds import EngineSpeeds
from amaranthbay.placement.types import LazyViews, PoolView, ServerView
from amaranthbay.utils.http import json_exchange
from amaranthbay.utils.tokens import block_hashes, estimate_tokens

__all__ = ["LoadTracker"]

POLL_S = 0.5
EVENT_POLLS = 2
REPORT_TIMEOUT_S = 1.0


class _Own:
    """One own attempt and what it was expected to take."""

    def __init__(self, placement, hashes, uncached, view, now):
        self.prefill = placement.prefill.server.instance
        self.decode = placement.decode.server.instance
        self.queued = placement.prefill.queued_tokens
        # At a slowdown of 1, since it is the slowdown that is measured.
        self.prefill_s = placement.prefill_s
        if self.prefill_s is None:
            self.prefill_s = (self.queued + uncached) * view.times.prefill_token_s
        else:
            self.prefill_s /= placement.prefill.slowdown
        self.expected_cached = placement.prefill.cached_tokens
        self.hold_expected = placement.decode.active >= placement.decode.slots
        self.hashes = hashes
        self.uncached = uncached
        self.times = view.times
        self.at = now
        self.prefilling = True
        self.size = 0.0
        self.sent_at = None


class LoadTracker(PlacementObserver):
    """Builds the snapshots for placement and learns from what followed."""

    def __init__(self, directory, availability_zone, clock, slots_of):
        self._directory = directory
        self._availability_zone = availability_zone
        self._clock = clock
        self._slots_of = slots_of
        self._loads = {}
        self._own = {}
        self.index = PrefixIndex()
        self.speeds = EngineSpeeds()

    def _load(self, instance):
        load = self._loads.get(instance)
        if load is None:
            load = self._loads[instance] = ServerLoad()
        return load

    def view(self, service, call, goodput_weight=0.5):
        """Returns the `PoolView` of a service's pools for a call."""
        now = self._clock.monotonic()
        hashes = block_hashes(call.model, call.prompt)
        times = self.speeds.times()
        prefill = self._directory.servers(service.pools, "prefill")
        decode = self._directory.servers(service.pools, "decode")
        holding = set(self.index.holders(hashes))

        def to_prefill(server):
            return self._prefill_view(server, hashes, times, now)

        def to_decode(server):
            return self._decode_view(server, now)

        return PoolView(
            LazyViews(prefill, to_prefill),
            LazyViews(decode, to_decode),
            self._availability_zone,
            times,
            goodput_weight,
            tuple(n for n, each in enumerate(prefill) if each.instance in holding),
        )

    def _prefill_view(self, server, hashes, times, now):
        load = self._load(server.instance)
        queued = load.queued_tokens(now, times.prefill_token_s)
        return ServerView(
            server,
            active=load.active(),
            queued_tokens=queued,
            blocking_tokens=load.blocking_tokens(queued),
            slots=self._slots_of(server),
            cached_tokens=self.index.cached_tokens(server.instance, hashes, now),
            link_bytes_s=self.speeds.link_bytes_s(server.instance),
            link_queued_bytes=load.link_bytes,
            slowdown=self.speeds.slowdown(server.instance, now),
            ramp=load.ramp(now),
        )

    def _decode_view(self, server, now):
        load = self._load(server.instance)
        slots = self._slots_of(server)
        return ServerView(server, load.active(), slots=slots, ramp=load.ramp(now))

    def placed(self, attempt_id, call, placement, view):
        now = self._clock.monotonic()
        hashes = block_hashes(call.model, call.prompt)
        tokens = estimate_tokens(call.prompt)
        uncached = max(0, tokens - placement.prefill.cached_tokens)
        own = _Own(placement, hashes, uncached, view, now)
        own.size = tokens * view.times.kv_bytes_token
        self._own[attempt_id] = own
        self._load(own.prefill).change(now, slots=1, tokens=uncached)
        self._load(own.decode).change(now, slots=1)

    def prefilled(self, attempt_id, outcome):
        own = self._own.get(attempt_id)
        if own is None:
            return
        now = self._clock.monotonic()
        self._end_prefill(own, now)
        self._load(own.prefill).link_bytes += own.size
        own.sent_at = now
        times = own.times
        computed = outcome.tokens - outcome.cached_tokens
        work_s = own.prefill_s + (computed - own.uncached) * times.prefill_token_s
        self.speeds.observe_prefill(
            own.prefill,
            max(0.0, work_s) + times.overhead_s,
            computed,
            own.queued,
            now - own.at,
            now,
        )
        self.speeds.observe_kv_life(outcome.expires - now)
        self.index.observe(
            own.prefill, own.hashes, own.expected_cached, outcome.cached_tokens, now
        )

    def _end_prefill(self, own, now):
        if own.prefilling:
            own.prefilling = False
            self._load(own.prefill).change(now, slots=-1, tokens=-own.uncached)

    def first_token(self, attempt_id):
        own = self._own.get(attempt_id)
        if own is None or own.sent_at is None:
            return
        taken_s = self._clock.monotonic() - own.sent_at - own.times.decode_step_s
        self._end_transfer(own)
        if not own.hold_expected:
            self.speeds.observe_transfer(own.prefill, own.size, taken_s)

    def _end_transfer(self, own):
        if own.sent_at is not None:
            own.sent_at = None
            load = self._load(own.prefill)
            load.link_bytes = max(0.0, load.link_bytes - own.size)

    def released(self, attempt_id):
        own = self._own.pop(attempt_id, None)
        if own is None:
            return
        now = self._clock.monotonic()
        if not own.prefilling:
            self.speeds.observe_stream(now - own.at)
        self._end_prefill(own, now)
        self._end_transfer(own)
        self._load(own.decode).change(now, slots=-1)

    def reported_active(self, instance):
        """Returns the running requests of the newest report, 0 without one."""
        report = self._load(instance).report
        return report.active + report.waiting if report else 0

    def run(self, pools):
        """Polls all engines of some pools until killed.

        Args:
            pools: Function that returns the names of the pools.
        """
        rounds = 0
        while True:
            for server in self._directory.servers(pools()):
                if server.role != "plain":
                    gevent.spawn(self._poll_load, server)
                if server.role == "prefill" and rounds % EVENT_POLLS == 0:
                    gevent.spawn(self._poll_events, server)
            rounds += 1
            self._clock.sleep(POLL_S)

    def _poll_load(self, server):
        report = _fetch(server, "/load", LoadReport)
        if report is not None:
            self._load(server.instance).receive(report, self._clock.monotonic())

    def _poll_events(self, server):
        after = self.index.last_event(server.instance)
        found = _fetch(server, f"/events?after={after}", dict)
        if found is not None:
            now = self._clock.monotonic()
            self.index.apply(server.instance, found["events"], now)


def _fetch(server, path, reply_type):
    """Returns the decoded reply, or None if there is no usable one."""
    outcome = json_exchange(server.address, "GET", path, timeout_s=REPORT_TIMEOUT_S)
    if outcome.is_err() or outcome.unwrap()[0] != 200:
        return None
    try:
        return msgspec.json.decode(outcome.unwrap()[1], type=reply_type)
    except msgspec.DecodeError:
        return None
