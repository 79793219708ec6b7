"""The processes of the product: `daemon.process` and, on the platform, `daemon.entry`.

The package imports neither. Each needs libraries that the other doesn't, and imports
delay the restart of an instance.
"""
