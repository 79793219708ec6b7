"""Command line of the stand-ins: ``python -m amaranthbay.standins KIND``."""

from amaranthbay.utils.runtime import select_event_loop

select_event_loop()

import typer  # noqa: E402

from amaranthbay.standins import engine, ledger, platform  # noqa: E402
from amaranthbay.standins.engine_state import EngineOptions  # noqa: E402

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.command("platform")
def run_platform(address: str):
    """Serves the platform stand-in."""
    platform.run(address)


@app.command("ledger")
def run_ledger(address: str):
    """Serves the stand-in for a plain service, a ledger."""
    ledger.run(address)


@app.command("engine")
def run_engine(
    address: str,
    role: str = "decode",
    scale: float = 1.0,
    slots: int = 20,
    crash_marker: str = "",
    checks_fence: bool = True,
    load_lag_s: float = 0.5,
    kv_life_s: float = 0.9,
    import_needs_slot: bool = False,
    seed: int = 1,
):
    """Serves an engine stand-in."""
    options = EngineOptions(
        role=role,
        scale=scale,
        slots=slots,
        crash_marker=crash_marker,
        checks_fence=checks_fence,
        load_lag_s=load_lag_s,
        kv_life_s=kv_life_s,
        import_needs_slot=import_needs_slot,
        seed=seed,
    )
    engine.run(address, options)


if __name__ == "__main__":
    app()
