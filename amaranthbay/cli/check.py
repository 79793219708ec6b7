"""Command that checks an operator's configuration for the users' platform."""

from pathlib import Path

import typer

from amaranthbay.cli.output import ExitCode, fail, print_json
from amaranthbay.routing.changes import describe_changes
from amaranthbay.routing.checks import FindingKind

__all__ = ["check_operator_configuration"]

HEADINGS = {
    FindingKind.ERROR: "errors",
    FindingKind.UNUSED: "entries without effect",
    FindingKind.CONTRADICTION: "limits that contradict each other",
}
FILE_OPTIONS = {"exists": True, "dir_okay": False}


def check_operator_configuration(
    file: Path = typer.Argument(..., help="Configuration as JSON.", **FILE_OPTIONS),
    in_force: Path = typer.Option(
        None, help="File with the configuration in force.", **FILE_OPTIONS
    ),
    store: str = typer.Option(
        None, help="Address of the store that has the configuration in force."
    ),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
):
    """Checks a configuration before it is written to the platform's store.

    Prints its errors, entries that have no effect, limits that contradict each other,
    and the differences from the version in force. Exits with 2 if there are errors, and
    with 1 if there is anything else but differences.

    Example: amaranthbay check new.json --store 10.9.0.1:8100
    """
    from amaranthbay.platform.adapter import PlatformAdapter

    if in_force is not None and store is not None:
        detail = "only one of --in-force and --store is possible"
        fail(detail, ExitCode.FAULTY_INPUT, as_json)
    adapter = PlatformAdapter()
    body = file.read_bytes()
    current = _load_current(adapter, in_force, store, as_json)
    findings = adapter.check_configuration(body, current)
    decoded = adapter.decode_configuration(body)
    differences = []
    if current is not None and decoded.is_ok():
        differences = describe_changes(current, decoded.unwrap())
    code = _exit_code(findings)
    if as_json:
        report = {"findings": findings, "differences": differences}
        print_json(report | {"exit_code": int(code)})
    else:
        _print(file, findings)
        if current is not None and decoded.is_ok():
            _print_differences(current, differences)
    raise typer.Exit(int(code))


def _load_current(adapter, file, store, as_json):
    """Returns the `RoutingTable` in force; None if neither source is named.

    Raises:
        typer.Exit: If it can't be read.
    """
    if file is None and store is None:
        return None
    if file is not None:
        source, code, body = file, ExitCode.FAULTY_INPUT, file.read_bytes()
    else:
        source, code = store, ExitCode.FAILED
        body = _read_store(adapter, store, as_json)
    decoded = adapter.decode_configuration(body)
    if decoded.is_err():
        fail(f"{source}: {decoded.unwrap_err()}", code, as_json)
    return decoded.unwrap()


def _read_store(adapter, address, as_json):
    """Returns the bytes of the configuration in a store.

    Raises:
        typer.Exit: If the store can't be read or has no configuration.
    """
    snapshot = adapter.open_store(address).snapshot(adapter.configuration_table)
    if snapshot.is_err():
        fail(f"{address}: {snapshot.unwrap_err().detail}", as_json=as_json)
    for row in snapshot.unwrap().rows:
        if row.key == adapter.configuration_key:
            return row.value
    fail(f"{address}: the store has no configuration", as_json=as_json)


def _exit_code(findings):
    if any(finding.kind is FindingKind.ERROR for finding in findings):
        return ExitCode.FAULTY_INPUT
    return ExitCode.QUESTIONABLE if findings else ExitCode.OK


def _print(file, findings):
    if not findings:
        typer.echo(f"{file}: no finding")
    for kind, heading in HEADINGS.items():
        texts = [str(finding) for finding in findings if finding.kind is kind]
        if texts:
            typer.echo("\n  ".join([f"{heading}:", *texts]))


def _print_differences(current, differences):
    if differences:
        heading = f"differences from version {current.version}, which is in force:"
        # Names of routes and services may hold control characters.
        texts = [_escape(text) for text in differences]
        typer.echo("\n  ".join([heading, *texts]))
    else:
        typer.echo(f"no difference from version {current.version}, which is in force")


def _escape(text):
    """Returns a text with escapes in place of characters that can't be printed."""
    return "".join(char if char.isprintable() else repr(char)[1:-1] for char in text)
