"""How much memory and how many connections callers may have, from the settings."""

from dataclasses import dataclass
from pathlib import Path

__all__ = [
    "CONNECTION_BYTES",
    "CONNECTION_HEADERS",
    "Places",
    "memory_for_callers",
    "resident_bytes",
    "split_places",
]

BYTES_PER_MB = 2**20
# Memory limit that is assumed if the settings name none.
DEFAULT_MEMORY_MB = 512.0
# What the parser, the greenlet and the objects of a connection cost. Measured: 12.6 KiB
# while it is idle, 18.5 KiB with a request of few headers.
CONNECTION_BYTES = 20 * 1024
# Headers of a request that this includes.
CONNECTION_HEADERS = 24
# Share of the memory of callers that their connections may take; the rest is for
# messages.
CONNECTIONS_SHARE = 1 / 2
# Share of the memory that is left for tables of servers, metrics, logs, and the buffers
# of exchanges with servers (about 200 KiB each). With a quarter, 300 mixed clients took
# a process of 128 MiB to 134.
GROWTH_SHARE = 1 / 3
# Real bytes for each byte that is counted, as allocations are rounded and fragmented.
OVERHEAD = 1.25
# Least share of the memory for callers and messages, however large the program is.
MIN_SHARE = 1 / 8
# File descriptors reserved for files, the store, the platform and backend servers.
RESERVED_DESCRIPTORS = 700
# Limits of caller connections. A small instance accepts at least the minimum.
MIN_CALLER_CONNECTIONS, MAX_CALLER_CONNECTIONS = 64, 2000
# Least number and share of the descriptors for lookups, and as many for readiness. They
# are a part of the reserved descriptors.
MIN_SERVICE_CONNECTIONS = 16
SERVICE_SHARE = 1 / 16
# Share of the descriptors that are left for each of both. With a fixed limit of 64,
# 100 callers that kept a connection open for lookups lost 36 of them.
LEFT_SHARE = 1 / 4


@dataclass(frozen=True)
class Places:
    """Largest numbers of connections at the same time.

    Attributes:
        callers: Connections of callers.
        services: Connections for lookups, and as many for readiness.
    """

    callers: int
    services: int


def memory_for_callers(memory_mb, program_bytes):
    """Returns the bytes that callers, their connections and all messages may hold.

    Args:
        memory_mb: Memory limit of the process in MiB; 0 if unknown.
        program_bytes: What the program itself needs.

    Examples:
        >>> memory_for_callers(128, 50 * 2**20) // 2**20
        28
    """
    limit_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    spare_bytes = (1 - GROWTH_SHARE) * limit_bytes - program_bytes
    return int(max(MIN_SHARE * limit_bytes, spare_bytes / OVERHEAD))


def resident_bytes():
    """Returns the resident memory of this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def split_places(descriptors, memory_bytes):
    """Returns the `Places` of a process.

    Args:
        descriptors: Limit of its file descriptors.
        memory_bytes: What `memory_for_callers` returns.

    Examples:
        >>> split_places(1024, 30 * 2**20)
        Places(callers=324, services=64)
        >>> split_places(8192, 30 * 2**20)
        Places(callers=768, services=1681)
    """
    for_memory = int(CONNECTIONS_SHARE * memory_bytes / CONNECTION_BYTES)
    spare = min(descriptors - RESERVED_DESCRIPTORS, for_memory)
    callers = max(MIN_CALLER_CONNECTIONS, min(MAX_CALLER_CONNECTIONS, spare))
    left = max(0, descriptors - RESERVED_DESCRIPTORS - callers)
    services = max(
        MIN_SERVICE_CONNECTIONS,
        int(SERVICE_SHARE * descriptors),
        int(LEFT_SHARE * left),
    )
    return Places(callers, min(MAX_CALLER_CONNECTIONS, services))
