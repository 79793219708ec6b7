"""Command line of the soak test."""

from pathlib import Path

import typer

from amaranthbay.observe import configure_logs
from amaranthbay.platform.tests.soak.run import run_seed

app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: int = typer.Option(..., help="Seed of the first run."),
    seeds: int = typer.Option(1, help="Number of runs, with consecutive seeds."),
    seconds: float = typer.Option(
        12.0, help="Seconds of traffic under faults in a run."
    ),
    processes: int = typer.Option(3, help="Number of entry processes."),
    keep: Path = typer.Option(None, help="Folder in which the logs are kept."),
):
    """Runs seeds; prints the faults and the violations of those that fail."""
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
            f"{outcome.answered} answered, {len(outcome.violations)} violations, "
            f"served share {outcome.served_share:.3f}, "
            f"answers in {outcome.answering_share:.3f} of the time, "
            f"of each process in {outcome.lowest_answering_share:.3f} at least"
        )
        played = ", ".join(f"{n} {name}" for name, n in outcome.played.items() if n)
        typer.echo(f"  played: {played or 'none with an own generator'}")
        if outcome.violations:
            failed.append(number)
            _print(outcome)
    typer.echo(f"failed seeds: {failed or 'none'}")
    raise typer.Exit(1 if failed else 0)


def _print(outcome):
    for step in outcome.steps:
        typer.echo(
            f"  {step.start_s:5.1f} s  {step.kind} {step.target}, "
            f"{step.duration_s:.1f} s, strength {step.strength:.2f}"
        )
    for violation in outcome.violations:
        typer.echo(f"  violation: {violation}")


if __name__ == "__main__":
    app()
