"""The two kinds of daemon of the router.

`daemon.process` is a daemon with the product's own interface, and `daemon.entry` is an
entry process on the users' platform. The package imports neither: each needs libraries
that the other doesn't, and imports delay the restart of an instance.
"""
