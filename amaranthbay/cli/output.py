"""Exit codes and output functions of the commands."""

from enum import IntEnum

import msgspec
import typer

__all__ = ["ExitCode", "fail", "print_json", "stop_on_faults"]


class ExitCode(IntEnum):
    """Exit codes of the program.

    Attributes:
        OK: The command succeeded.
        FAILED: The command failed, or a daemon lags.
        DIFFERS: ``config diff`` found a difference; other diff programs use 1 as well.
        QUESTIONABLE: ``check`` found no error, but unused entries or limits that
            contradict each other.
        FAULTY_INPUT: A file, setting or option has a value that is not allowed.
        CONFLICT: Another operator's change came first.
        REFUSED: The platform or a daemon refused.
        UNKNOWN: The reply was lost, so the outcome is unknown.
    """

    OK = 0
    FAILED = 1
    DIFFERS = 1
    QUESTIONABLE = 1
    FAULTY_INPUT = 2
    CONFLICT = 3
    REFUSED = 4
    UNKNOWN = 5


def print_json(value):
    """Prints a value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def fail(detail, code=ExitCode.FAILED, as_json=False):
    """Prints why a command failed and exits.

    Args:
        detail: Message for the user.
        code: `ExitCode`.
        as_json: Whether to print JSON to standard output instead of text to
            standard error.

    Raises:
        typer.Exit: Always.
    """
    if as_json:
        print_json({"error": detail, "exit_code": int(code)})
    else:
        typer.echo(detail, err=True)
    raise typer.Exit(int(code))


def stop_on_faults(faults, as_json):
    """Prints all faults and exits, if there are any.

    Args:
        faults: Sequence of `Fault`.
        as_json: Whether to print JSON to standard output instead of text to
            standard error.

    Raises:
        typer.Exit: With ``FAULTY_INPUT``, if there are faults.
    """
    if not faults:
        return
    if as_json:
        print_json({"faults": faults, "exit_code": int(ExitCode.FAULTY_INPUT)})
    for fault in () if as_json else faults:
        typer.echo(str(fault), err=True)
    raise typer.Exit(int(ExitCode.FAULTY_INPUT))
