"""Command line of the soak."""

from pathlib import Path

import typer

from amaranthbay.observe import configure_logs
from amaranthbay.platform.tests.soak.run import run_seed

app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: int = typer.Option(..., help="Seed of the first run."),
    seeds: int = typer.Option(1, help="Number of runs, with rising seeds."),
    seconds: float = typer.Option(12.0, help="Traffic under faults, for each run."),
    processes: int = typer.Option(3, help="Number of entry processes."),
    keep: Path = typer.Option(None, help="Folder that keeps the processes' logs."),
):
    """Plays seeds, prints their series and what they broke."""
    configure_logs("error")
    failed = []
    for number in range(seed, seed + seeds):
        folder = None
        if keep is not None:
            folder = keep / str(number)
            folder.mkdir(parents=True, exist_ok=True)
        outcome = run_seed(number, seconds, processes, folder)
        typer.echo(
            f"seed {number}: {len(outcome.steps)} faults, {outcome.requests} requests, "
            f"{outcome.answered} answered, {len(outcome.broken)} broken promises"
        )
        if outcome.broken:
            failed.append(number)
            _print(outcome)
    typer.echo(f"failed seeds: {failed or 'none'}")
    raise typer.Exit(1 if failed else 0)


def _print(outcome):
    for step in outcome.steps:
        typer.echo(
            f"  {step.at_s:5.1f} s  {step.kind} {step.target}, "
            f"{step.for_s:.1f} s, strength {step.strength:.2f}"
        )
    for sentence in outcome.broken:
        typer.echo(f"  broken: {sentence}")


if __name__ == "__main__":
    app()
