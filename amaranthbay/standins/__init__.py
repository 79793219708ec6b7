"""Small stand-ins for the platform, the engines and a plain service.

They run as processes of their own in the demo and the tests. Faults are switched
on from outside with ``POST /faults``.
"""
