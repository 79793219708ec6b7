"""Durable state, stored in the platform's table service and object store.

It is never stored at daemons, which only keep copies and pending writes in memory.
"""
