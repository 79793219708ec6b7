"""Command that sends a request to a daemon, as a caller does."""

import os
import sys
from pathlib import Path

import typer

from amaranthbay.cli.output import ExitCode, fail, print_json

__all__ = ["send_request"]

KEY_VARIABLE = "AMARANTHBAY_WORKSPACE_KEY"


def send_request(
    address: str = typer.Argument(..., help="Address of any daemon."),
    model: str = typer.Option(..., help="Name of the model service."),
    workspace: str = typer.Option(..., help="Name of the workspace."),
    prompt: str = typer.Option("", help="Prompt text."),
    file: Path = typer.Option(
        None, exists=True, dir_okay=False, help="File that holds the prompt."
    ),
    max_tokens: int = typer.Option(64, min=1, help="Longest answer in tokens."),
    caller: str = typer.Option(
        "", help="Kind of caller; empty for the service's default."
    ),
    key_file: Path = typer.Option(
        None, exists=True, dir_okay=False, help="File that holds the workspace's key."
    ),
    as_json: bool = typer.Option(False, "--json", help="Print JSON at the end."),
):
    """Sends a completion and prints the answer as it streams.

    The key of the workspace, if the deployment needs one, comes from a file or from the
    environment variable AMARANTHBAY_WORKSPACE_KEY.

    Example: amaranthbay request 127.0.0.1:8001 --model summary --workspace ws-1
    --prompt "What is due?"
    """
    from amaranthbay.client import CallFailed, Client

    prompt_text = file.read_text(errors="replace") if file else prompt
    # Not an option, as the arguments of a process can be seen by others.
    key = key_file.read_text() if key_file else os.environ.get(KEY_VARIABLE, "")
    client = Client([address], workspace, caller, key=key.strip())
    texts = []
    try:
        for text in client.complete(model, prompt_text, max_tokens):
            texts.append(text)
            if not as_json:
                sys.stdout.write(text)
                sys.stdout.flush()
    except CallFailed as exc:
        fail(f"{exc}", ExitCode.FAILED, as_json)
    if as_json:
        print_json({"text": "".join(texts), "verdict": "ran"})
    else:
        typer.echo("")
