"""Dispatch: runs admitted requests on engines and on servers of plain services.

An attempt of a model request prefills on one server and decodes on another. While it
may hold memory there, it has an in-flight record, which is copied to two other daemons,
the guards of this daemon. If this daemon dies, they cancel the attempt.

A request that was in flight on a server that died is a suspect: it then runs only on
servers without other suspects, until it has finished or is quarantined.
"""

from amaranthbay.dispatch import engine_http, model, plain
from amaranthbay.dispatch.types import ModelCall, PlainCall, PrefillOutcome, TokenEvent
