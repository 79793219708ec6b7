"""Reads answers and configurations from files and reports all faults at once."""

import tomllib
from pathlib import Path

from amaranthbay.config.answers import load_answers
from amaranthbay.config.rules import configuration_faults
from amaranthbay.config.types import Configuration
from amaranthbay.utils.checking import load_checked

__all__ = ["check_file", "load_configuration"]


def load_configuration(path):
    """Returns a `CheckResult` with a `Configuration`, or with all faults."""
    return load_checked(path, Configuration, configuration_faults)


def check_file(path):
    """Returns the `CheckResult` of a file that holds answers or a configuration.

    The file is a configuration if it has a version, which answers don't have. An
    unreadable file is a fault either way.
    """
    try:
        is_configuration = "version" in tomllib.loads(Path(path).read_text())
    except (OSError, ValueError):
        is_configuration = True
    return load_configuration(path) if is_configuration else load_answers(path)
