"""Command line of the daemon and of operators."""

from amaranthbay.cli.main import app
