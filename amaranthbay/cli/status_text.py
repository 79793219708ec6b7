"""Formats the status of daemons as lines of text."""

__all__ = ["daemon_rows", "status_lines"]


def daemon_rows(status, fetch_status):
    """Returns the daemons that a status lists, with what each reports of itself.

    Args:
        status: Status of the daemon that was asked.
        fetch_status: Function of an address that returns the daemon's status as
            ``Result[dict, str]``.

    Returns:
        Mappings with the fields of the list entry, ``config_version``, ``draining``,
        ``in_flight`` (all None if the daemon doesn't answer) and ``lags``: whether
        the version isn't the highest one.
    """
    rows = []
    for entry in status["daemons"]:
        is_asked = entry["instance"] == status["instance"]
        reported = (
            status if is_asked else fetch_status(entry["address"]).unwrap_or(None)
        )
        fields = {"config_version": None, "draining": None, "in_flight": None}
        if reported is not None:
            fields = {key: reported[key] for key in fields}
        rows.append(entry | fields)
    highest = max((row["config_version"] or 0 for row in rows), default=0)
    for row in rows:
        row["lags"] = row["config_version"] != highest
    return rows


def status_lines(status, rows):
    """Yields a status as lines of text.

    Args:
        status: Status of the daemon that was asked.
        rows: Its daemons, as `daemon_rows` returns them.
    """
    yield f"asked: {status['instance']} in {status['availability_zone']}"
    yield "daemons:"
    for row in rows:
        yield (
            f"  {row['instance']} ({row['availability_zone']}):"
            f" {_describe_daemon(row)}"
        )
    yield "backend servers:"
    for server in status["workers"]:
        details = f"{server['pool']}, {server['role']}, {server['availability_zone']}"
        yield f"  {server['instance']} ({details}): {server['state']}"
    yield from _table_lines("leases", status["leases"])
    yield from _table_lines("crash marks", status["crash_marks"])
    quarantined = status["quarantined"]
    names = "unknown" if quarantined is None else ", ".join(quarantined) or "none"
    yield f"quarantined requests: {names}"
    yield f"requests in progress at {status['instance']}: {status['in_flight']}"
    for request in status["requests"]:
        servers = ", ".join(request["backend_servers"])
        yield f"  {request['request_id']} on {servers}"
    yield f"cancels outstanding: {status['cancels_outstanding']}"


def _describe_daemon(row):
    if row["config_version"] is None:
        return f"{row['state']} in the instance list, but gives no answer"
    state = "draining" if row["draining"] else row["state"]
    lag = ", lags" if row["lags"] else ""
    version = f"configuration version {row['config_version']}{lag}"
    return f"{state}, {version}, {row['in_flight']} requests"


def _table_lines(title, rows):
    """Yields the lines of some rows of the table service.

    Args:
        title: What the rows are.
        rows: Mappings with a ``name``; None if the table service didn't answer.
    """
    if rows is None:
        yield f"{title}: unknown, the platform doesn't answer"
        return
    yield f"{title}: {len(rows)}"
    for row in rows:
        values = ", ".join(f"{key} {row[key]}" for key in row if key != "name")
        yield f"  {row['name']}: {values}"
