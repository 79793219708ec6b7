"""Shared helpers: event loop, HTTP, sockets, hashing, TOML and tests."""
