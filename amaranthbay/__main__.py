"""Entry point of the program."""

from amaranthbay.utils.runtime import pin_event_loop

pin_event_loop()

from amaranthbay.cli import app  # noqa: E402


def main():
    """Runs the command line."""
    app(prog_name="amaranthbay")


if __name__ == "__main__":
    main()
