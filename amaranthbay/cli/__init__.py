"""Command line for running daemons and for operators."""

from amaranthbay.cli.main import app
