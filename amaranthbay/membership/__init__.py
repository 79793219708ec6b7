"""Membership: which daemons and backend servers are live."""

from amaranthbay.membership.backends import BackendDirectory
from amaranthbay.membership.rendezvous import rendezvous_order
