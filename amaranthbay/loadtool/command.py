"""Command line of the load tool: ``amaranthbay bench``."""

from pathlib import Path

import typer

__all__ = ["bench_command"]


def bench_command(
    selection: str = typer.Option("short", "--set", help="Set of runs: short or full."),
    policy: list[str] = typer.Option([], help="Placement policy; all if not given."),
    scale: float = typer.Option(
        1.0, help="Factor on engine times, KV cache life and targets."
    ),
    load: float = typer.Option(
        1.2, help="Arrival rate, as a multiple of the capacity."
    ),
    profile: str = typer.Option("", help="Only this profile."),
    fault: str = typer.Option("", help="Only this fault."),
    seed: int = typer.Option(0, help="Only this seed."),
    duration: float = typer.Option(22.0, help="Seconds of load for each run."),
    patient_factor: float = typer.Option(
        1.0, help="Factor on the rate of patient requests."
    ),
    allocator: str = typer.Option("independent", help="Slot allocator."),
    out: Path = typer.Option(
        Path("bench-out/bench.jsonl"), help="File to which JSON lines are added."
    ),
):
    """Measures placement policies on a deployment of stand-ins."""
    # Imported here, so that a daemon doesn't load the stand-ins.
    from amaranthbay.loadtool.bench import run_bench
    from amaranthbay.loadtool.profiles import load_profile

    changes = {
        "load": load,
        "duration_s": duration,
        "patient_factor": patient_factor,
        "allocator": allocator,
    }
    if profile:
        changes["profile"] = load_profile(profile)
    if fault:
        changes["fault"] = fault
    if seed:
        changes["seed"] = seed
    run_bench(selection, policy, scale, out, **changes)
