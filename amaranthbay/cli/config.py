"""Commands about the configuration."""

from pathlib import Path

import msgspec
import typer

from amaranthbay.config import decode_configuration
from amaranthbay.platform.http import HttpObjectStore, HttpTableService
from amaranthbay.state.config_store import accept_configuration

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, help="Generates and accepts configurations.")

EXIT_CODES = {"accepted": 0, "conflict": 3, "not_accepted": 4, "unknown": 5}


@app.command("accept")
def accept(
    file: Path,
    platform: str = typer.Option(..., help="Address of the platform."),
    operator: str = typer.Option(..., help="Who accepts it."),
):
    """Accepts a generated configuration."""
    try:
        cfg = decode_configuration(file.read_bytes())
    except msgspec.DecodeError as exc:
        typer.echo(f"{file}: {exc}", err=True)
        raise typer.Exit(2) from exc
    table = HttpTableService(platform)
    objects = HttpObjectStore(platform)
    outcome = accept_configuration(table, objects, cfg, operator)
    typer.echo(msgspec.json.encode(outcome).decode())
    raise typer.Exit(EXIT_CODES[outcome.state])
