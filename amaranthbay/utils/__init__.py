"""Helpers that several packages share: event loop, HTTP, hashing and tests."""
