"""Dispatch: runs admitted requests on engines and on servers of plain services."""

from amaranthbay.dispatch import engine_http, model, plain
from amaranthbay.dispatch.types import ModelCall, PlainCall, PrefillOutcome, TokenEvent
