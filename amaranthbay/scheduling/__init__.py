"""Decisions on scarce capacity: who starts, who waits and who is refused.

All of them are pure functions of what an instance knows, and run without a network.
"""
