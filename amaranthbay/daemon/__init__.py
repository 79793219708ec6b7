"""The two kinds of daemon: `daemon.process`, and `daemon.entry` on the users' platform.

The package imports neither. Each needs libraries that the other doesn't, and imports
delay the restart of an instance.
"""
