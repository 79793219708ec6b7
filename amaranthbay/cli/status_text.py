"""Turns the status of daemons into lines for people."""

__all__ = ["daemon_rows", "status_lines"]


def daemon_rows(status, fetch):
    """Returns each daemon with its own version and whether it lags.

    Args:
        status: Status of the daemon that was asked.
        fetch: Function of an address that returns ``Result[dict, str]``.
    """
    rows = []
    for entry in status["daemons"]:
        own = entry["instance"] == status["instance"]
        found = status if own else fetch(entry["address"]).unwrap_or(None)
        known = {"config_version": None, "draining": None, "in_flight": None}
        if found is not None:
            known = {key: found[key] for key in known}
        rows.append(entry | known)
    newest = max((row["config_version"] or 0 for row in rows), default=0)
    for row in rows:
        row["lags"] = row["config_version"] != newest
    return rows


def status_lines(status, rows):
    """Yields the lines of a status."""
    yield f"asked: {status['instance']} in {status['availability_zone']}"
    yield "daemons:"
    for row in rows:
        yield f"  {row['instance']} ({row['availability_zone']}): {_daemon(row)}"
    yield "backend servers:"
    for each in status["workers"]:
        place = f"{each['pool']}, {each['role']}, {each['availability_zone']}"
        yield f"  {each['instance']} ({place}): {each['state']}"
    yield from _named_rows("leases", status["leases"])
    yield from _named_rows(
        "crash marks and quarantined requests", status["crash_marks"]
    )
    yield f"requests in progress at {status['instance']}: {status['in_flight']}"
    for each in status["requests"]:
        servers = ", ".join(each["backend_servers"])
        yield f"  {each['request_id']} on {servers}"
    yield f"cancels outstanding: {status['cancels_outstanding']}"


def _daemon(row):
    if row["config_version"] is None:
        return f"{row['state']} in the instance list, but gives no answer"
    state = "draining" if row["draining"] else row["state"]
    lag = ", lags" if row["lags"] else ""
    version = f"configuration version {row['config_version']}{lag}"
    return f"{state}, {version}, {row['in_flight']} requests"


def _named_rows(title, rows):
    if rows is None:
        yield f"{title}: unknown, the platform doesn't answer"
        return
    yield f"{title}: {len(rows)}"
    for row in rows:
        rest = ", ".join(f"{key} {row[key]}" for key in row if key != "name")
        yield f"  {row['name']}: {rest}"
