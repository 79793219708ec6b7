"""Exit codes and output that all commands share."""

from enum import IntEnum

import msgspec
import typer

__all__ = ["Exit", "fail", "print_json", "stop_on_faults"]


class Exit(IntEnum):
    """Exit codes of the program.

    ``DIFFERS`` is the code of ``config diff``, as other diff programs use it.
    """

    OK = 0
    FAILED = 1
    DIFFERS = 1
    FAULTY_INPUT = 2
    CONFLICT = 3
    REFUSED = 4
    UNKNOWN = 5


def print_json(value):
    """Prints a value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def fail(detail, code=Exit.FAILED, as_json=False):
    """Prints why a command failed and ends it with a code."""
    if as_json:
        print_json({"error": detail, "exit_code": int(code)})
    else:
        typer.echo(detail, err=True)
    raise typer.Exit(int(code))


def stop_on_faults(faults, as_json):
    """Ends the command if there are faults, and prints all of them."""
    if not faults:
        return
    if as_json:
        print_json({"faults": faults, "exit_code": int(Exit.FAULTY_INPUT)})
    for fault in () if as_json else faults:
        typer.echo(str(fault), err=True)
    raise typer.Exit(int(Exit.FAULTY_INPUT))
