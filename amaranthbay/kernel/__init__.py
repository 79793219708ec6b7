"""Kernel: request path, verdicts, clock and registry. It knows no policy."""

from amaranthbay.kernel.clock import Clock, SystemClock
from amaranthbay.kernel.errors import Reason, Refusal, Verdict
from amaranthbay.kernel.registry import find, names, register
