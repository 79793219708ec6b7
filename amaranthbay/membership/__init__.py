"""Membership: knowledge of which daemons and backend servers are live."""

from amaranthbay.membership.backends import BackendDirectory
from amaranthbay.membership.lookup import lookup_order
from amaranthbay.membership.service import ProbedMembership
from amaranthbay.membership.types import Member, MemberState
from amaranthbay.utils.rendezvous import rendezvous_order
