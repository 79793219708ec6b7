"""Durable state, stored in the platform's table service and object store."""
