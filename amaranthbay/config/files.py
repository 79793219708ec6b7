"""Reads answers and configurations from files, with every fault at once."""

import tomllib
from pathlib import Path

from amaranthbay.config.answers import decode_answers
from amaranthbay.config.rules import configuration_faults
from amaranthbay.config.types import Configuration
from amaranthbay.utils.checking import load_checked

__all__ = ["check_file", "load_configuration"]


def load_configuration(path):
    """Returns a `Checked` with a `Configuration`, or with every fault."""
    return load_checked(path, Configuration, configuration_faults)


def check_file(path):
    """Returns the `Checked` of a file that holds answers or a configuration.

    Only a generated configuration has a version.
    """
    try:
        generated = "version" in tomllib.loads(Path(path).read_text())
    except (OSError, ValueError):
        generated = True
    return load_configuration(path) if generated else decode_answers(path)
