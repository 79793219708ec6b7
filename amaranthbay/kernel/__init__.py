"""Kernel: request path, verdicts, clock and plug-in registry; contains no policies."""

from amaranthbay.kernel.clock import Clock, SystemClock
from amaranthbay.kernel.errors import Reason, Refusal, Verdict
from amaranthbay.kernel.registry import find, register, registered_names
