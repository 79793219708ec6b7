"""Configuration of the small deployment that tests and the demo start."""

from amaranthbay.config.types import (
    CallerKind,
    CallPattern,
    Configuration,
    Pool,
    Service,
)

__all__ = ["small_configuration"]


def small_configuration():
    """Returns a configuration with a model service and a plain service.

    ``summary`` is served by a prefill and a decode pool to interactive callers
    (``counter``) and to callers without targets (``desk``); ``ledger`` is the plain
    service, whose postings are not idempotent.
    """
    return Configuration(
        version=0,
        deployment="small",
        services=(
            Service("summary", "model", ("prefill", "decode"), ("desk", "counter")),
            Service(
                "ledger",
                "plain",
                ("ledger",),
                ("counter",),
                (CallPattern("POST", "/postings"),),
            ),
        ),
        callers=(
            CallerKind("counter", True, 1.3, 0.051),
            CallerKind("desk", False),
        ),
        pools=(
            Pool("prefill", "prefill"),
            Pool("decode", "decode"),
            Pool("ledger", "plain"),
        ),
    )
