"""Randomized soak of real entry processes under faults from outside.

Entry processes run as the platform starts them. Their store, their backend servers
and their callers live in the soak's own process, and every connection between them
passes a link that can delay, reset or silence it.

Examples:
    >>> # python -m amaranthbay.platform.tests.soak --seed 7
"""
