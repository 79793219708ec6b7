"""Configuration: the answers of a team and what is generated from them."""

from amaranthbay.config.types import (
    CallerKind,
    Configuration,
    Pool,
    Service,
    decode_configuration,
    encode_configuration,
)
