"""Engine times measured by the daemon, and servers that are slow but alive."""

from dataclasses import dataclass

from amaranthbay.placement.types import PoolTimes

__all__ = ["EngineSpeeds"]

SAMPLES = 32
MIN_SAMPLES = 5
# Shorter prefills measure the exchange and not the engine.
MIN_TOKENS = 256
GAIN = 0.3
# A slow server gets no work and so no new measurement; its rating must fade.
FADE_HALF_LIFE_S = 15.0
LIMIT = 50.0
MIN_TRANSFER_S = 0.05
MIN_LINK_BYTES_S = 1.0e7


@dataclass
class _Rating:
    value: float = 1.0
    at: float = 0.0

    def at_time(self, now):
        """Returns the value, faded towards 1."""
        return 1.0 + (self.value - 1.0) * 0.5 ** ((now - self.at) / FADE_HALF_LIFE_S)


class EngineSpeeds:
    """Measured times of the engines of a daemon's pools."""

    def __init__(self, defaults=PoolTimes()):
        self._defaults = defaults
        self._token_samples = []
        self._token_s = defaults.prefill_token_s
        self._stream_s = defaults.stream_s
        self._kv_life_s = defaults.kv_life_s
        self._step_s = defaults.decode_step_s
        self._ratings = {}
        self._links = {}

    def times(self):
        """Returns the current `PoolTimes`."""
        return PoolTimes(
            prefill_token_s=self._token_s,
            decode_step_s=self._step_s,
            stream_s=self._stream_s,
            kv_life_s=self._kv_life_s,
            kv_bytes_token=self._defaults.kv_bytes_token,
            overhead_s=self._defaults.overhead_s,
        )

    def slowdown(self, instance, now):
        """Returns measured over expected time of a server, at least 1."""
        rating = self._ratings.get(instance)
        return 1.0 if rating is None else max(1.0, rating.at_time(now))

    def link_bytes_s(self, instance):
        """Returns the measured rate of a prefill server's transfers."""
        return self._links.get(instance, 2.0e9)

    def observe_prefill(self, instance, expected_s, uncached, queued, taken_s, now):
        """Takes over a finished prefill.

        Args:
            instance: The prefill server.
            expected_s: Expected time at a slowdown of 1.
            uncached: Tokens that the engine computed.
            queued: Tokens that were expected to be ahead in the queue.
            taken_s: Measured time.
            now: Monotonic time in seconds.
        """
        if queued == 0 and uncached >= MIN_TOKENS:
            self._add_token_sample((taken_s - 0.01) / uncached)
        if expected_s > 0.0:
            self._rate(instance, taken_s / expected_s, now)

    def _add_token_sample(self, seconds):
        self._token_samples.append(max(1e-7, seconds))
        del self._token_samples[:-SAMPLES]
        if len(self._token_samples) >= MIN_SAMPLES:
            # A quarter of the samples found the engine idle, as was expected.
            ordered = sorted(self._token_samples)
            self._token_s = ordered[len(ordered) // 4]

    def _rate(self, instance, ratio, now):
        old = self._ratings.get(instance, _Rating()).at_time(now)
        value = old + GAIN * (min(LIMIT, ratio) - old)
        self._ratings[instance] = _Rating(value, now)

    def observe_transfer(self, instance, size, taken_s):
        """Takes over the transfer of a KV cache to a free decode slot."""
        if taken_s < MIN_TRANSFER_S:
            return
        old = self.link_bytes_s(instance)
        rate = max(MIN_LINK_BYTES_S, size / taken_s)
        self._links[instance] = old + GAIN * (rate - old)

    def observe_kv_life(self, seconds):
        """Takes over how long a prefill's result is kept."""
        self._kv_life_s = seconds

    def observe_stream(self, seconds):
        """Takes over how long a stream held its slot."""
        self._stream_s += 0.05 * (seconds - self._stream_s)
