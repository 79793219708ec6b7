"""Load tool: puts open-loop load on a deployment of stand-ins and reports figures.

Callers are either interactive, with targets for the first token and the time between
tokens, or patient, without targets.
"""
