"""Entry point of the program."""

import sys

from amaranthbay.utils.runtime import ignore_early_reload, pin_event_loop

ignore_early_reload(sys.argv)
pin_event_loop()

from amaranthbay.cli import app  # noqa: E402


def main():
    """Runs the command line."""
    app(prog_name="amaranthbay")


if __name__ == "__main__":
    main()
