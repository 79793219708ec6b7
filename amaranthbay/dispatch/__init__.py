"""Dispatch: runs placed requests on engines and plain services."""

from amaranthbay.dispatch import engine_http, model, plain
from amaranthbay.dispatch.types import ModelCall, PlainCall, PrefillOutcome, TokenEvent
