"""Workspaces: the keys by which callers name theirs, and its quota.

A workspace is one customer of a deployment. The platform's pages call it a tenant.
"""

from amaranthbay.workspaces.keys import KeyTable
from amaranthbay.workspaces.types import QuotaUnit, Workspace

__all__ = ["KeyTable", "QuotaUnit", "Workspace"]
