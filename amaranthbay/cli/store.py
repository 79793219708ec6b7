"""Command that shows what the store of the users' platform holds."""

import typer

from amaranthbay.cli.output import fail, print_json
from amaranthbay.utils.decoding import decode_json

__all__ = ["show_fleet"]


def show_fleet(
    store: str = typer.Option(..., help="Address of the platform's store."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
):
    """Shows the configuration, the instances and the backend servers in the store.

    Example: amaranthbay fleet --store 10.9.0.1:8100
    """
    from amaranthbay.platform.adapter import PlatformAdapter

    adapter = PlatformAdapter()
    rows = _read_tables(adapter, store, as_json)
    fleet = {
        "configuration": _describe_configuration(
            adapter, rows[adapter.configuration_table]
        ),
        "instances": [_decode_instance(row) for row in rows[adapter.instances_table]],
        "backend_servers": [
            _decode_server(adapter, row) for row in rows[adapter.servers_table]
        ],
    }
    if as_json:
        print_json(fleet)
        return
    typer.echo(f"configuration {fleet['configuration']}")
    for kind in ("instances", "backend_servers"):
        typer.echo(f"{kind.replace('_', ' ')}: {len(fleet[kind])}")
        for entry in fleet[kind]:
            typer.echo(
                "  " + ", ".join(f"{key} {value}" for key, value in entry.items())
            )


def _read_tables(adapter, store, as_json):
    """Returns the rows of each table by the table's name.

    Raises:
        typer.Exit: If a table can't be read.
    """
    source = adapter.open_store(store)
    rows = {}
    for table in (
        adapter.configuration_table,
        adapter.instances_table,
        adapter.servers_table,
    ):
        snapshot = source.snapshot(table)
        if snapshot.is_err():
            fail(f"{table}: {snapshot.unwrap_err().detail}", as_json=as_json)
        rows[table] = snapshot.unwrap().rows
    return rows


def _describe_configuration(adapter, rows):
    """Returns version and number of routes of the newest configuration, as text."""
    for row in rows:
        if row.key == adapter.configuration_key:
            decoded = adapter.decode_configuration(row.value)
            if decoded.is_err():
                return f"unreadable: {decoded.unwrap_err()}"
            cfg = decoded.unwrap()
            return f"version {cfg.version}, {len(cfg.routes)} routes"
    return "none"


def _decode_instance(row):
    """Returns the fields of an instance, or its key and why they are unreadable."""
    decoded = decode_json(row.value, dict)
    return decoded.unwrap_or_else(
        lambda detail: {"instance": row.key, "unreadable": detail}
    )


def _decode_server(adapter, row):
    """Returns fields of a backend server, or its key and why they are unreadable."""
    decoded = adapter.decode_server(row.key, row.value)
    if decoded.is_err():
        return {"name": row.key, "unreadable": decoded.unwrap_err()}
    server = decoded.unwrap()
    return {
        "name": server.name,
        "service": server.service,
        "address": server.address,
        "stage": server.stage or "plain",
        "draining": server.draining,
    }
