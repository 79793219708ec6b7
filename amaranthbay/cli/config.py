"""Commands about the configuration."""

from pathlib import Path

import msgspec
import typer

from amaranthbay.cli.output import Exit, fail, print_json, stop_on_faults
from amaranthbay.config import (
    check_file,
    decode_answers,
    diff,
    generate,
    load_configuration,
    render_configuration,
)

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Asks, generates, checks and accepts.")

ACCEPT_CODES = {
    "accepted": Exit.OK,
    "conflict": Exit.CONFLICT,
    "not_accepted": Exit.REFUSED,
    "unknown": Exit.UNKNOWN,
}
ACCEPT_SENTENCES = {
    "accepted": "accepted as version {version}",
    "conflict": "not accepted: another operator's change came first; look at"
    " `amaranthbay config show` and try again",
    "not_accepted": "not accepted: the platform did not take it",
    "unknown": "unknown: the platform's answer was lost; look at"
    " `amaranthbay config show` before you try again",
}
JSON_OPTION = typer.Option(False, "--json", help="Print JSON.")
PLATFORM_OPTION = typer.Option(..., help="Address of the platform.")


@app.command("ask")
def ask(
    output: Path = typer.Option(None, help="File to write; standard output if none."),
    template: bool = typer.Option(False, help="Write an annotated file to fill in."),
):
    """Asks for the answers, or writes a template to fill in.

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
        fail(str(exc), Exit.FAULTY_INPUT)
    for fault in answer_faults(answers):
        typer.echo(f"{fault.key}: allowed is {fault.allowed}", err=True)
    # Contradictory answers are written too, so that nobody answers twice.
    _write(to_toml(answers), output)
    if list(answer_faults(answers)):
        raise typer.Exit(int(Exit.FAULTY_INPUT))


@app.command("generate")
def generate_command(
    answers: Path,
    output: Path = typer.Option(None, help="File to write; standard output if none."),
    as_json: bool = JSON_OPTION,
):
    """Generates a configuration with the reason for every derived value.

    Example: amaranthbay config generate answers.toml --output config.toml
    """
    checked = decode_answers(answers)
    stop_on_faults(checked.faults, as_json)
    generated = generate(checked.value)
    if as_json:
        print_json(generated)
        return
    head = [f"Generated from {answers.name} by amaranthbay config generate."]
    cfg = generated.configuration
    _write(render_configuration(cfg, generated.reasons, head), output)


@app.command("check")
def check(file: Path, as_json: bool = JSON_OPTION):
    """Checks answers or a configuration and names every fault.

    Example: amaranthbay config check answers.toml
    """
    stop_on_faults(check_file(file).faults, as_json)
    if as_json:
        print_json({"faults": []})
    else:
        typer.echo(f"{file}: no fault")


@app.command("diff")
def diff_command(old: Path, new: Path, as_json: bool = JSON_OPTION):
    """Says in sentences how two configurations differ; ends with 1 if they do.

    Example: amaranthbay config diff old.toml new.toml
    """
    before, after = load_configuration(old), load_configuration(new)
    stop_on_faults(before.faults + after.faults, as_json)
    sentences = diff(before.value, after.value)
    if as_json:
        print_json({"differences": sentences})
    else:
        typer.echo("\n".join(sentences) or "no difference")
    raise typer.Exit(int(Exit.DIFFERS if sentences else Exit.OK))


@app.command("accept")
def accept(
    file: Path,
    platform: str = PLATFORM_OPTION,
    operator: str = typer.Option(..., help="Who accepts it."),
    expected: int = typer.Option(
        None, help="Version that must be in force, or it is not accepted."
    ),
    as_json: bool = JSON_OPTION,
):
    """Accepts a generated configuration.

    Ends with 0 if accepted, 3 after another operator's change, 4 if not accepted,
    5 if unknown.

    Example: amaranthbay config accept config.toml --platform 127.0.0.1:9000
    --operator ana
    """
    from amaranthbay.platform.http import HttpObjectStore, HttpTableService
    from amaranthbay.state.config_store import accept_configuration

    if not operator.strip():
        fail("the operator's name is empty", Exit.FAULTY_INPUT, as_json)
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
        sentence = ACCEPT_SENTENCES[outcome.state]
        typer.echo(sentence.format(version=outcome.version))
    raise typer.Exit(int(ACCEPT_CODES[outcome.state]))


@app.command("show")
def show(
    platform: str = PLATFORM_OPTION,
    in_force: bool = typer.Option(False, help="Show what each daemon has in force."),
    as_json: bool = JSON_OPTION,
):
    """Shows the accepted configuration, or what each daemon has in force.

    Example: amaranthbay config show --platform 127.0.0.1:9000 --in-force
    """
    from amaranthbay.cli.fleet import accepted_configuration, versions_in_force

    found = accepted_configuration(platform)
    if found.is_err():
        fail(found.unwrap_err(), as_json=as_json)
    accepted = found.unwrap()
    if in_force:
        _show_versions(accepted, versions_in_force(platform, accepted.version), as_json)
    elif as_json:
        print_json(accepted)
    else:
        head = [f"Version {accepted.version}, accepted by {accepted.operator}."]
        typer.echo(render_configuration(accepted.configuration, head=head), nl=False)


def _show_versions(accepted, versions, as_json):
    if as_json:
        print_json({"accepted": accepted.version, "daemons": versions})
    else:
        typer.echo(f"accepted: version {accepted.version} by {accepted.operator}")
        for each in versions:
            known = "no answer" if each.version is None else f"version {each.version}"
            lag = " (lags)" if each.lags else ""
            typer.echo(f"{each.instance}: {known}{lag}")
    lagging = any(each.lags for each in versions)
    raise typer.Exit(int(Exit.FAILED if lagging else Exit.OK))


def _write(text, output):
    if output is None:
        typer.echo(text, nl=False)
        return
    output.write_text(text)
    typer.echo(f"written: {output}")
