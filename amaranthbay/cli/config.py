"""Commands for the configuration of a deployment."""

from pathlib import Path

import msgspec
import typer

from amaranthbay.cli.output import ExitCode, fail, print_json, stop_on_faults
from amaranthbay.config import (
    check_file,
    diff,
    generate,
    load_answers,
    load_configuration,
    render_configuration,
)

__all__ = ["app"]

app = typer.Typer(
    no_args_is_help=True,
    help="Creates, checks, compares, accepts and shows configurations.",
)

# Exit codes and messages by the state of an `AcceptOutcome`.
ACCEPT_EXIT_CODES = {
    "accepted": ExitCode.OK,
    "conflict": ExitCode.CONFLICT,
    "not_accepted": ExitCode.REFUSED,
    "unknown": ExitCode.UNKNOWN,
}
ACCEPT_MESSAGES = {
    "accepted": "accepted as version {version}",
    "conflict": "not accepted: another operator's change came first; look at"
    " `amaranthbay config show` and try again",
    "not_accepted": "not accepted: the platform did not store it",
    "unknown": "unknown: the platform's answer was lost; look at"
    " `amaranthbay config show` before you try again",
}
JSON_OPTION = typer.Option(False, "--json", help="Print JSON.")
PLATFORM_OPTION = typer.Option(..., help="Address of the platform.")


@app.command("ask")
def ask(
    output: Path = typer.Option(
        None, help="File to write; standard output by default."
    ),
    template: bool = typer.Option(
        False, help="Write an annotated answers file to fill in."
    ),
):
    """Asks for the answers that make a configuration, or writes a template.

    Example: amaranthbay config ask --template --output answers.toml
    """
    from amaranthbay.cli.ask import ask_answers
    from amaranthbay.config.rules import answer_faults
    from amaranthbay.config.template import TEMPLATE
    from amaranthbay.utils.toml_text import to_toml

    if template:
        _write(TEMPLATE, output)
        return
    try:
        answers = ask_answers()
    except msgspec.ValidationError as exc:
        fail(str(exc), ExitCode.FAULTY_INPUT)
    for fault in answer_faults(answers):
        typer.echo(f"{fault.key}: allowed is {fault.allowed}", err=True)
    # Contradictory answers are written too; correcting the file is less work than
    # answering all questions again.
    _write(to_toml(answers), output)
    if list(answer_faults(answers)):
        raise typer.Exit(int(ExitCode.FAULTY_INPUT))


@app.command("generate")
def generate_command(
    answers: Path,
    output: Path = typer.Option(
        None, help="File to write; standard output by default."
    ),
    as_json: bool = JSON_OPTION,
):
    """Generates a configuration from answers, with a reason for each derived value.

    Example: amaranthbay config generate answers.toml --output config.toml
    """
    checked = load_answers(answers)
    stop_on_faults(checked.faults, as_json)
    generated = generate(checked.value)
    if as_json:
        print_json(generated)
        return
    header = [f"Generated from {answers.name} by amaranthbay config generate."]
    cfg = generated.configuration
    _write(render_configuration(cfg, generated.reasons, header), output)


@app.command("check")
def check(file: Path, as_json: bool = JSON_OPTION):
    """Checks an answers file or a configuration and prints every fault.

    Example: amaranthbay config check answers.toml
    """
    stop_on_faults(check_file(file).faults, as_json)
    if as_json:
        print_json({"faults": []})
    else:
        typer.echo(f"{file}: no fault")


@app.command("diff")
def diff_command(old: Path, new: Path, as_json: bool = JSON_OPTION):
    """Describes how two configurations differ; exits with 1 if they do.

    Example: amaranthbay config diff old.toml new.toml
    """
    before, after = load_configuration(old), load_configuration(new)
    stop_on_faults(before.faults + after.faults, as_json)
    sentences = diff(before.value, after.value)
    if as_json:
        print_json({"differences": sentences})
    else:
        typer.echo("\n".join(sentences) or "no difference")
    raise typer.Exit(int(ExitCode.DIFFERS if sentences else ExitCode.OK))


@app.command("accept")
def accept(
    file: Path,
    platform: str = PLATFORM_OPTION,
    operator: str = typer.Option(..., help="Name of the operator who accepts it."),
    expected: int = typer.Option(
        None, help="Accept only if the last accepted version is this one."
    ),
    as_json: bool = JSON_OPTION,
):
    """Accepts a generated configuration, which daemons then adopt.

    Exits with 0 if accepted, 3 if another operator's change came first, 4 if not
    accepted, 5 if the outcome is unknown.

    Example: amaranthbay config accept config.toml --platform 127.0.0.1:9000
    --operator ana
    """
    from amaranthbay.platform.http import HttpObjectStore, HttpTableService
    from amaranthbay.state.config_store import accept_configuration

    if not operator.strip():
        fail("the operator's name is empty", ExitCode.FAULTY_INPUT, as_json)
    checked = load_configuration(file)
    stop_on_faults(checked.faults, as_json)
    outcome = accept_configuration(
        HttpTableService(platform),
        HttpObjectStore(platform),
        checked.value,
        operator,
        expected,
    )
    if as_json:
        print_json(outcome)
    else:
        message = ACCEPT_MESSAGES[outcome.state]
        typer.echo(message.format(version=outcome.version))
    raise typer.Exit(int(ACCEPT_EXIT_CODES[outcome.state]))


@app.command("show")
def show(
    platform: str = PLATFORM_OPTION,
    in_force: bool = typer.Option(
        False, help="Show the version that each daemon has in force."
    ),
    as_json: bool = JSON_OPTION,
):
    """Shows the accepted configuration, or the version that each daemon has in force.

    With --in-force, exits with 1 if a daemon lags or doesn't answer.

    Example: amaranthbay config show --platform 127.0.0.1:9000 --in-force
    """
    from amaranthbay.cli.fleet import accepted_configuration, versions_in_force

    fetched = accepted_configuration(platform)
    if fetched.is_err():
        fail(fetched.unwrap_err(), as_json=as_json)
    accepted = fetched.unwrap()
    if in_force:
        _show_versions(accepted, versions_in_force(platform, accepted.version), as_json)
    elif as_json:
        print_json(accepted)
    else:
        header = [f"Version {accepted.version}, accepted by {accepted.operator}."]
        typer.echo(render_configuration(accepted.configuration, head=header), nl=False)


def _show_versions(accepted, versions, as_json):
    """Prints the version of each daemon and exits; with 1 if one of them lags."""
    if as_json:
        print_json({"accepted": accepted.version, "daemons": versions})
    else:
        typer.echo(f"accepted: version {accepted.version} by {accepted.operator}")
        for daemon in versions:
            version = (
                "no answer" if daemon.version is None else f"version {daemon.version}"
            )
            lag = " (lags)" if daemon.lags else ""
            typer.echo(f"{daemon.instance}: {version}{lag}")
    any_lags = any(daemon.lags for daemon in versions)
    raise typer.Exit(int(ExitCode.FAILED if any_lags else ExitCode.OK))


def _write(text, output):
    """Writes to a file, or to standard output if ``output`` is None."""
    if output is None:
        typer.echo(text, nl=False)
        return
    output.write_text(text)
    typer.echo(f"written: {output}")
