"""Top-level commands."""

from pathlib import Path

import typer

from amaranthbay.cli import config, requests
from amaranthbay.loadtool.command import bench_command

__all__ = ["app"]

app = typer.Typer(
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    help="Router for language models on separate prefill and decode pools.",
)
app.add_typer(config.app, name="config")
app.command("request")(requests.send_request)
app.command("status")(requests.show_status)
app.command("bench")(bench_command)


@app.command("daemon")
def daemon_command(settings: Path = typer.Option(..., help="TOML settings file.")):
    """Runs a daemon until SIGTERM has drained it."""
    from amaranthbay.daemon import run_daemon
    from amaranthbay.kernel.errors import SettingsError
    from amaranthbay.settings import load_settings

    try:
        loaded = load_settings(settings)
    except SettingsError as exc:
        for fault in exc.faults:
            typer.echo(fault, err=True)
        raise typer.Exit(2) from exc
    run_daemon(loaded)
