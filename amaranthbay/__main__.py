"""Entry point of the program."""

import sys

from amaranthbay.utils.runtime import (
    UNUSED_BY_ENTRY,
    ignore_early_reload,
    no_entry_points,
    pause_collection,
    resume_collection,
    select_event_loop,
)

# An entry process imports neither the command-line library nor the other commands: they
# would take half of its start time, and hundreds of entry processes may start at once.
IS_ENTRY = sys.argv[1:] == ["entry"]

ignore_early_reload(sys.argv)
if IS_ENTRY:
    pause_collection()
    with no_entry_points():
        select_event_loop(UNUSED_BY_ENTRY)
else:
    select_event_loop()


def main():
    """Runs an entry process or any other command."""
    if IS_ENTRY:
        from amaranthbay.daemon.entry_process import run_entry
        from amaranthbay.platform.adapter import PlatformAdapter

        resume_collection()
        sys.exit(run_entry(PlatformAdapter()))
    from amaranthbay.cli import app

    app(prog_name="amaranthbay")


if __name__ == "__main__":
    main()
