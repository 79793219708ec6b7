"""Stand-ins for the platform, the inference engines and a plain service.

Each runs as a process of its own in the demo and in tests, and speaks the same HTTP
interface as the real server. ``POST /control/faults`` switches faults on and off.
"""
