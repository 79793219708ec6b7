"""Settings of the C library's memory allocator."""

import ctypes

__all__ = ["return_large_blocks"]

# Parameters of mallopt in glibc.
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
LARGE_BYTES = 2**17
TRIM_BYTES = 2**20


def return_large_blocks():
    """Keeps large blocks out of the heap, so that their memory is returned when freed.

    The library raises its threshold to the size of freed blocks by itself. Bodies that
    grow side by side would then leave holes in the heap that nothing fits into. A block
    of its own also grows without a copy. Other C libraries don't need or know this.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
        mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
