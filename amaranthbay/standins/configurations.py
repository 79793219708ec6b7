"""Configurations of the deployments that tests start."""

from amaranthbay.config.types import (
    CallerKind,
    CallPattern,
    Configuration,
    Pool,
    Service,
)

__all__ = ["small_configuration"]


def small_configuration():
    """Returns a configuration with one model service and one ledger."""
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
