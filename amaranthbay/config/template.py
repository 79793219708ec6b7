"""Annotated template of an answers file."""

__all__ = ["TEMPLATE"]

TEMPLATE = """\
# Answers about one deployment. Change the values and remove what you don't need.
# `amaranthbay config check FILE` reports all faults; `amaranthbay config generate
# FILE` generates the configuration.

# Name of the deployment, as it appears in logs and reports.
deployment = "my-deployment"

# Which goal weighs more if they conflict: "goodput" (many requests that meet their
# targets), "wasted_prefill" (few prompt tokens computed in vain) or "both_alike".
weigh_more = "both_alike"

# Number of entry instances (daemons) in each availability zone.
entry_instances = { zone-a = 2, zone-b = 1 }

# Names of the workspaces that are admitted; an empty list admits any name.
workspaces = []

# A kind of caller. `waits` is "with_target" or "as_long_as_it_takes". A caller with
# a target states, in milliseconds, the time to the first token (for a plain service:
# to the answer) and, for models, the longest time between tokens.
[[callers]]
name = "counter"
waits = "with_target"
first_token_ms = 1300
between_tokens_ms = 51

[[callers]]
name = "desk"
waits = "as_long_as_it_takes"

# A service that callers use: kind "model" or "plain". `callers` lists the kinds of
# caller that may use it; the first one is the default. `pools` lists the pools of
# backend servers that run it: a model needs a prefill and a decode pool.
[[services]]
name = "summary"
kind = "model"
callers = ["desk", "counter"]
pools = ["prefill", "decode"]

# `non_idempotent` lists the calls that must never run twice, by method and path
# prefix.
[[services]]
name = "ledger"
kind = "plain"
callers = ["counter"]
pools = ["ledger"]
non_idempotent = ["POST /postings"]

# A pool of backend servers under the name that the platform's instance list uses.
# `role` is "prefill", "decode" or "plain"; `instances` counts the servers in each
# availability zone. `checks_sender`: do the servers verify the sender of an order?
# `checks_fence`: do they refuse an order with an outdated fencing number?
# `requests_at_once` is the number of concurrent requests per server; leave it out if
# it is not known.
[[pools]]
name = "prefill"
role = "prefill"
instances = { zone-a = 1, zone-b = 1 }
checks_sender = true
checks_fence = true

[[pools]]
name = "decode"
role = "decode"
instances = { zone-a = 1, zone-b = 1 }
checks_sender = true
checks_fence = true
requests_at_once = 20

[[pools]]
name = "ledger"
role = "plain"
instances = { zone-a = 1 }
checks_sender = false
checks_fence = false
"""
