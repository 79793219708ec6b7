"""Configuration of a deployment, generated from a team's answers."""

from amaranthbay.config.answers import Answers, load_answers
from amaranthbay.config.diff import diff
from amaranthbay.config.files import check_file, load_configuration
from amaranthbay.config.generate import generate, render_configuration
from amaranthbay.config.types import (
    CallerKind,
    Configuration,
    Pool,
    Service,
    decode_configuration,
    encode_configuration,
)
from amaranthbay.config.workspaces import KeyedWorkspace
