"""Command that shows what the users' platform keeps for an operator."""

import msgspec
import typer

from amaranthbay.cli.output import fail, print_json

__all__ = ["show_fleet"]


def show_fleet(
    store: str = typer.Option(..., help="Address of the platform's store."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
):
    """Shows the configuration, the instances and the backend servers of the store.

    Example: amaranthbay fleet --store 10.9.0.1:8100
    """
    from amaranthbay.platform.adapter import PlatformAdapter

    adapter = PlatformAdapter()
    rows = _read(adapter, store, as_json)
    fleet = {
        "configuration": _configuration(adapter, rows[adapter.configuration_table]),
        "instances": [_instance(row) for row in rows[adapter.members_table]],
        "backend_servers": [
            _server(adapter, row) for row in rows[adapter.servers_table]
        ],
    }
    if as_json:
        print_json(fleet)
        return
    typer.echo(f"configuration {fleet['configuration']}")
    for kind in ("instances", "backend_servers"):
        typer.echo(f"{kind.replace('_', ' ')}: {len(fleet[kind])}")
        for each in fleet[kind]:
            typer.echo("  " + ", ".join(f"{k} {v}" for k, v in each.items()))


def _read(adapter, store, as_json):
    """Returns the rows of each table by its name."""
    source = adapter.open_store(store)
    found = {}
    for table in (
        adapter.configuration_table,
        adapter.members_table,
        adapter.servers_table,
    ):
        snapshot = source.snapshot(table)
        if snapshot.is_err():
            fail(f"{table}: {snapshot.unwrap_err().detail}", as_json=as_json)
        found[table] = snapshot.unwrap().rows
    return found


def _configuration(adapter, rows):
    for row in rows:
        if row.key == adapter.configuration_key:
            decoded = adapter.decode_configuration(row.value)
            if decoded.is_err():
                return f"unreadable: {decoded.unwrap_err()}"
            table = decoded.unwrap()
            return f"version {table.version}, {len(table.routes)} routes"
    return "none"


def _instance(row):
    try:
        return msgspec.json.decode(row.value, type=dict)
    except msgspec.DecodeError as exc:
        return {"instance": row.key, "unreadable": str(exc)}


def _server(adapter, row):
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
