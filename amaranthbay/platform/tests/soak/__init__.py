"""Randomized soak test: real entry processes under injected faults.

The entry processes run as the platform starts them. Their store, backend servers and
callers run in the process of the test, and every connection to or from an entry process
passes a `Link` that can delay, reset or silence it.

Examples:
    >>> # python -m amaranthbay.platform.tests.soak --seed 7
"""
