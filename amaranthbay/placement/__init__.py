"""Placement: which backend servers run an attempt."""

from amaranthbay.placement import baselines, slots
from amaranthbay.placement.types import Demand, Placement, PoolView, ServerView
