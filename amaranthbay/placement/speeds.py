"""Engine times over all servers, and the slowdown and link rate of each server.

They are measured from the attempts of this daemon.
"""

from dataclasses import dataclass

from amaranthbay.placement.types import PoolTimes

__all__ = ["EngineSpeeds"]

MAX_SAMPLES = 32
MIN_SAMPLES = 5
# The time of a shorter prefill is mostly that of the HTTP exchange.
MIN_SAMPLE_TOKENS = 256
# Weight of a new measurement in a moving average.
EWMA_WEIGHT = 0.3
# A slow server gets no work and so no new measurement; its slowdown decays, so that it
# is tried again.
SLOWDOWN_HALF_LIFE_S = 15.0
MAX_SLOWDOWN = 50.0
# Shorter transfers are not used to estimate the rate of a link.
MIN_TRANSFER_S = 0.05
MIN_LINK_BYTES_S = 1.0e7


@dataclass
class _Slowdown:
    """Moving average of measured over expected prefill time of a server."""

    value: float = 1.0
    measured_at: float = 0.0

    def decayed(self, now):
        """Returns the value after its decay towards 1."""
        return 1.0 + (self.value - 1.0) * 0.5 ** (
            (now - self.measured_at) / SLOWDOWN_HALF_LIFE_S
        )


class EngineSpeeds:
    """Measured engine times over all servers, and slowdowns and link rates of each."""

    def __init__(self, defaults=PoolTimes()):
        """Creates the measurements.

        Args:
            defaults: `PoolTimes` that hold until they are measured.
        """
        self._defaults = defaults
        self._token_samples = []
        self._token_s = defaults.prefill_token_s
        self._stream_s = defaults.stream_s
        self._kv_life_s = defaults.kv_life_s
        self._step_s = defaults.decode_step_s
        self._slowdowns = {}
        self._link_rates = {}

    def times(self):
        """Returns the current `PoolTimes`."""
        return PoolTimes(
            prefill_token_s=self._token_s,
            decode_step_s=self._step_s,
            stream_s=self._stream_s,
            kv_life_s=self._kv_life_s,
            kv_bytes_per_token=self._defaults.kv_bytes_per_token,
            overhead_s=self._defaults.overhead_s,
        )

    def slowdown(self, instance, now):
        """Returns the ratio of measured to expected prefill time, at least 1."""
        measured = self._slowdowns.get(instance)
        return 1.0 if measured is None else max(1.0, measured.decayed(now))

    def link_bytes_s(self, instance):
        """Returns the transfer rate of a prefill server, in bytes per second.

        It is 2.0e9 until a transfer has been measured.
        """
        return self._link_rates.get(instance, 2.0e9)

    def observe_prefill(self, instance, expected_s, uncached, queued, taken_s, now):
        """Updates prefill time and slowdown from a finished prefill.

        Args:
            instance: The prefill server.
            expected_s: Expected time at a slowdown of 1, in seconds.
            uncached: Tokens that the engine computed.
            queued: Tokens that were expected to be queued before it.
            taken_s: Measured time in seconds.
            now: Monotonic time in seconds.
        """
        if queued == 0 and uncached >= MIN_SAMPLE_TOKENS:
            self._add_token_sample((taken_s - 0.01) / uncached)
        if expected_s > 0.0:
            self._update_slowdown(instance, taken_s / expected_s, now)

    def _add_token_sample(self, seconds):
        self._token_samples.append(max(1e-7, seconds))
        del self._token_samples[:-MAX_SAMPLES]
        if len(self._token_samples) >= MIN_SAMPLES:
            # The lower quartile: about a quarter of the samples found the engine idle
            # as expected, and the others include a wait.
            ordered = sorted(self._token_samples)
            self._token_s = ordered[len(ordered) // 4]

    def _update_slowdown(self, instance, ratio, now):
        old = self._slowdowns.get(instance, _Slowdown()).decayed(now)
        value = old + EWMA_WEIGHT * (min(MAX_SLOWDOWN, ratio) - old)
        self._slowdowns[instance] = _Slowdown(value, now)

    def observe_transfer(self, instance, size, taken_s):
        """Updates a link's rate from a KV cache transfer to a free decode slot.

        Args:
            instance: The prefill server that sent the KV cache.
            size: Size of the KV cache in bytes.
            taken_s: Measured time in seconds.
        """
        if taken_s < MIN_TRANSFER_S:
            return
        old = self.link_bytes_s(instance)
        rate = max(MIN_LINK_BYTES_S, size / taken_s)
        self._link_rates[instance] = old + EWMA_WEIGHT * (rate - old)

    def observe_kv_life(self, seconds):
        """Sets the time for which an engine keeps a prefill's KV cache."""
        self._kv_life_s = seconds

    def observe_stream(self, seconds):
        """Updates the mean time that a stream holds its slot."""
        self._stream_s += 0.05 * (seconds - self._stream_s)
