"""Load tool: open-loop load on a deployment of stand-ins, and its report."""
