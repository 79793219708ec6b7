"""Tracks the engines from load reports, cache events and this daemon's placements.

"Own" refers to this daemon.
"""

import gevent

from amaranthbay.kernel.interfaces import PlacementObserver
from amaranthbay.placement.loads import LoadEstimate, LoadReport
from amaranthbay.placement.prefix_index import PrefixIndex
from amaranthbay.placement.speeds import EngineSpeeds
from amaranthbay.placement.types import LazyViews, PoolView, ServerView
from amaranthbay.utils.decoding import decode_json
from amaranthbay.utils.http import exchange_whole
from amaranthbay.utils.tokens import block_hashes, estimate_tokens

__all__ = ["LoadTracker"]

POLL_INTERVAL_S = 0.5
# Cache events are polled once in this many polls of the load.
LOAD_POLLS_PER_EVENT_POLL = 2
REPORT_TIMEOUT_S = 1.0


class _OwnAttempt:
    """An attempt of this daemon, its progress and its expected times.

    Attributes:
        prefill: Instance of the prefill server.
        decode: Instance of the decode server.
        queued: Prompt tokens queued at the prefill server before this attempt.
        prefill_end_s: Expected time from the placement to the end of the prefill, in
            seconds, at a slowdown of 1.
        expected_cached: Prompt tokens that were expected in the server's cache.
        slot_wait_expected: Whether the decode server had no free slot.
        hashes: Hashes of the prompt's blocks.
        uncached: Prompt tokens that were not expected in the cache.
        times: `PoolTimes` at the placement.
        placed_at: Monotonic time of the placement in seconds.
        prefilling: Whether the prefill has not ended.
        kv_bytes: Size of the KV cache of the prompt in bytes.
        transfer_started_at: Monotonic time in seconds at which the prefill ended and
            the KV cache transfer began; None if no transfer is in progress.
    """

    def __init__(self, placement, hashes, uncached, view, now):
        self.prefill = placement.prefill.server.instance
        self.decode = placement.decode.server.instance
        self.queued = placement.prefill.queued_tokens
        # At a slowdown of 1, since the slowdown itself is measured from this time.
        self.prefill_end_s = placement.prefill_end_s
        if self.prefill_end_s is None:
            self.prefill_end_s = (self.queued + uncached) * view.times.prefill_token_s
        else:
            self.prefill_end_s /= placement.prefill.slowdown
        self.expected_cached = placement.prefill.cached_tokens
        self.slot_wait_expected = placement.decode.active >= placement.decode.slots
        self.hashes = hashes
        self.uncached = uncached
        self.times = view.times
        self.placed_at = now
        self.prefilling = True
        self.kv_bytes = 0.0
        self.transfer_started_at = None


class LoadTracker(PlacementObserver):
    """Builds pool snapshots for placement, and measures the engines by own attempts.

    Attributes:
        index: `PrefixIndex` of the prefill servers.
        speeds: `EngineSpeeds` measured from own attempts.
    """

    def __init__(self, directory, availability_zone, clock, slots_of):
        """Creates the tracker.

        Args:
            directory: `BackendDirectory` of the servers.
            availability_zone: Availability zone of the daemon.
            clock: `Clock` for the age of reports and the polling.
            slots_of: Function that takes a `BackendServer` and returns the number of
                its slots.
        """
        self._directory = directory
        self._availability_zone = availability_zone
        self._clock = clock
        self._slots_of = slots_of
        self._loads = {}
        self._own_attempts = {}
        self.index = PrefixIndex()
        self.speeds = EngineSpeeds()

    def _load_estimate(self, instance):
        load = self._loads.get(instance)
        if load is None:
            load = self._loads[instance] = LoadEstimate()
        return load

    def view(self, service, call, goodput_weight=0.5):
        """Returns a snapshot of a service's pools for a call.

        Args:
            service: `config.types.Service` of the call.
            call: `ModelCall` whose prompt is looked up in the prefix index.
            goodput_weight: Weight of goodput against wasted prefill, 0 to 1.

        Returns:
            `PoolView`.
        """
        now = self._clock.monotonic()
        hashes = block_hashes(call.model, call.prompt)
        times = self.speeds.times()
        prefill = self._directory.servers(service.pools, "prefill")
        decode = self._directory.servers(service.pools, "decode")
        holder_instances = set(self.index.prefix_holders(hashes))

        def view_prefill(server):
            return self._prefill_view(server, hashes, times, now)

        def view_decode(server):
            return self._decode_view(server, now)

        return PoolView(
            LazyViews(prefill, view_prefill),
            LazyViews(decode, view_decode),
            self._availability_zone,
            times,
            goodput_weight,
            tuple(
                position
                for position, server in enumerate(prefill)
                if server.instance in holder_instances
            ),
        )

    def _prefill_view(self, server, hashes, times, now):
        load = self._load_estimate(server.instance)
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
        load = self._load_estimate(server.instance)
        slots = self._slots_of(server)
        return ServerView(server, load.active(), slots=slots, ramp=load.ramp(now))

    def placed(self, attempt_id, call, placement, view):
        now = self._clock.monotonic()
        hashes = block_hashes(call.model, call.prompt)
        tokens = estimate_tokens(call.prompt)
        uncached = max(0, tokens - placement.prefill.cached_tokens)
        attempt = _OwnAttempt(placement, hashes, uncached, view, now)
        attempt.kv_bytes = tokens * view.times.kv_bytes_per_token
        self._own_attempts[attempt_id] = attempt
        self._load_estimate(attempt.prefill).change(now, requests=1, tokens=uncached)
        self._load_estimate(attempt.decode).change(now, requests=1)

    def prefilled(self, attempt_id, outcome):
        attempt = self._own_attempts.get(attempt_id)
        if attempt is None:
            return
        now = self._clock.monotonic()
        self._end_prefill(attempt, now)
        self._load_estimate(attempt.prefill).link_bytes += attempt.kv_bytes
        attempt.transfer_started_at = now
        times = attempt.times
        computed = outcome.tokens - outcome.cached_tokens
        # The estimate of the placement assumed that `uncached` tokens are computed.
        expected_s = (
            attempt.prefill_end_s
            + (computed - attempt.uncached) * times.prefill_token_s
        )
        self.speeds.observe_prefill(
            attempt.prefill,
            max(0.0, expected_s) + times.overhead_s,
            computed,
            attempt.queued,
            now - attempt.placed_at,
            now,
        )
        self.speeds.observe_kv_life(outcome.expires - now)
        self.index.observe(
            attempt.prefill,
            attempt.hashes,
            attempt.expected_cached,
            outcome.cached_tokens,
            now,
        )

    def _end_prefill(self, attempt, now):
        if attempt.prefilling:
            attempt.prefilling = False
            self._load_estimate(attempt.prefill).change(
                now, requests=-1, tokens=-attempt.uncached
            )

    def first_token(self, attempt_id):
        attempt = self._own_attempts.get(attempt_id)
        if attempt is None or attempt.transfer_started_at is None:
            return
        taken_s = (
            self._clock.monotonic()
            - attempt.transfer_started_at
            - attempt.times.decode_step_s
        )
        self._end_transfer(attempt)
        if not attempt.slot_wait_expected:
            self.speeds.observe_transfer(attempt.prefill, attempt.kv_bytes, taken_s)

    def _end_transfer(self, attempt):
        if attempt.transfer_started_at is not None:
            attempt.transfer_started_at = None
            load = self._load_estimate(attempt.prefill)
            load.link_bytes = max(0.0, load.link_bytes - attempt.kv_bytes)

    def released(self, attempt_id):
        attempt = self._own_attempts.pop(attempt_id, None)
        if attempt is None:
            return
        now = self._clock.monotonic()
        if not attempt.prefilling:
            self.speeds.observe_stream(now - attempt.placed_at)
        self._end_prefill(attempt, now)
        self._end_transfer(attempt)
        self._load_estimate(attempt.decode).change(now, requests=-1)

    def reported_active(self, instance):
        """Returns the requests that run or wait by the newest report; 0 without one."""
        report = self._load_estimate(instance).report
        return report.active + report.waiting if report else 0

    def run(self, pools):
        """Polls load and cache events of the engines until killed.

        Args:
            pools: Function that returns the names of the pools to poll.
        """
        rounds = 0
        while True:
            for server in self._directory.servers(pools()):
                if server.role != "plain":
                    gevent.spawn(self._poll_load, server)
                if server.role == "prefill" and rounds % LOAD_POLLS_PER_EVENT_POLL == 0:
                    gevent.spawn(self._poll_events, server)
            rounds += 1
            self._clock.sleep(POLL_INTERVAL_S)

    def _poll_load(self, server):
        report = _fetch(server, "/load", LoadReport)
        if report is not None:
            self._load_estimate(server.instance).receive(
                report, self._clock.monotonic()
            )

    def _poll_events(self, server):
        after = self.index.last_event(server.instance)
        reply = _fetch(server, f"/events?after={after}", dict)
        if reply is not None:
            now = self._clock.monotonic()
            self.index.apply_events(server.instance, reply["events"], now)


def _fetch(server, path, reply_type):
    """Returns the decoded reply of an engine, or None.

    None stands for a failed exchange, another status than 200 or an unreadable body.
    """
    outcome = exchange_whole(server.address, "GET", path, timeout_s=REPORT_TIMEOUT_S)
    if outcome.is_err() or outcome.unwrap()[0] != 200:
        return None
    return decode_json(outcome.unwrap()[1], reply_type).ok()
