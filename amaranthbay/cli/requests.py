"""Commands that talk to daemons."""

import sys
from pathlib import Path

import msgspec
import typer

from amaranthbay.client import CallFailed, Client
from amaranthbay.utils.http import json_exchange

__all__ = ["send_request", "show_status"]


def send_request(
    address: str = typer.Argument(..., help="Address of any daemon."),
    model: str = typer.Option(...),
    workspace: str = typer.Option(...),
    prompt: str = typer.Option("", help="Prompt text."),
    file: Path = typer.Option(None, help="File that holds the prompt."),
    max_tokens: int = typer.Option(64),
    caller: str = typer.Option(""),
):
    """Sends a completion and prints the answer as it streams."""
    text = file.read_text(errors="replace") if file else prompt
    client = Client([address], workspace, caller)
    try:
        for part in client.complete(model, text, max_tokens):
            sys.stdout.write(part)
            sys.stdout.flush()
    except CallFailed as exc:
        typer.echo(f"\n{exc}", err=True)
        raise typer.Exit(1) from exc
    typer.echo("")


def show_status(address: str = typer.Argument(..., help="Address of a daemon.")):
    """Prints what a daemon knows and does."""
    outcome = json_exchange(address, "GET", "/v1/status", timeout_s=5.0)
    if outcome.is_err():
        typer.echo(outcome.unwrap_err().detail, err=True)
        raise typer.Exit(1)
    document = msgspec.json.decode(outcome.unwrap()[1])
    typer.echo(msgspec.json.format(msgspec.json.encode(document)).decode())
