"""Top-level commands of the program.

``daemon`` and ``entry`` both run the router. A daemon uses a platform through this
project's own HTTP interface. An entry process uses the users' platform through a
`PlatformAdapter`; ``fleet`` shows what the store of that platform holds, and ``check``
checks a configuration before an operator writes it there.
"""

from pathlib import Path

import typer

from amaranthbay.cli import config, operate, requests
from amaranthbay.cli.check import check_operator_configuration
from amaranthbay.cli.output import ExitCode, fail, print_json, stop_on_faults
from amaranthbay.cli.store import show_fleet
from amaranthbay.loadtool.command import bench_command

__all__ = ["app"]

app = typer.Typer(
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    help="Router for language models on separate prefill and decode pools.",
)
settings_app = typer.Typer(no_args_is_help=True, help="Checks a daemon's settings.")
app.add_typer(config.app, name="config")
app.add_typer(settings_app, name="settings")
app.command("request")(requests.send_request)
app.command("status")(operate.show_status)
app.command("drain")(operate.drain)
app.command("explain")(operate.explain)
app.command("streams")(operate.account_streams)
app.command("bench")(bench_command)


@app.command("daemon")
def daemon_command(settings: Path = typer.Option(..., help="TOML settings file.")):
    """Runs a daemon until it has drained after SIGTERM.

    Example: amaranthbay daemon --settings daemon.toml
    """
    from amaranthbay.daemon.process import run_daemon
    from amaranthbay.kernel.errors import SettingsError
    from amaranthbay.settings import load_settings

    try:
        run_daemon(load_settings(settings))
    except SettingsError as exc:
        stop_on_faults(exc.faults, as_json=False)


@app.command("entry")
def entry_command(
    check: bool = typer.Option(False, "--check", help="Only check the settings.")
):
    """Runs an entry process on the users' platform until it has drained after SIGTERM.

    The platform names the settings file in the environment. Exits with 2 if the file
    can't be used.

    Example: amaranthbay entry --check
    """
    from amaranthbay.daemon.entry_process import run_entry
    from amaranthbay.platform.adapter import PlatformAdapter

    adapter = PlatformAdapter()
    if not check:
        raise typer.Exit(run_entry(adapter))
    loaded = adapter.load_settings()
    if loaded.is_err():
        fail(loaded.unwrap_err(), ExitCode.FAULTY_INPUT)
    typer.echo(f"{loaded.unwrap().instance}: no fault")


app.command("fleet")(show_fleet)
app.command("check")(check_operator_configuration)


@settings_app.command("check")
def check_command(
    file: Path, as_json: bool = typer.Option(False, "--json", help="Print JSON.")
):
    """Checks a settings file and prints every fault; run it on the daemon's instance.

    Example: amaranthbay settings check daemon.toml
    """
    from amaranthbay.settings import check_settings

    stop_on_faults(check_settings(file).faults, as_json)
    if as_json:
        print_json({"faults": []})
    else:
        typer.echo(f"{file}: no fault")
