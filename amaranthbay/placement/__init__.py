"""Placement: which backend servers run an attempt."""

from amaranthbay.placement import baselines, cost, owner_slots, slots
from amaranthbay.placement.types import Demand, Placement, PoolView, ServerView
