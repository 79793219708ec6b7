"""Operators' commands that inspect and drain daemons and read their logs."""

import sys
from pathlib import Path

import msgspec
import typer

from amaranthbay.cli.output import ExitCode, fail, print_json

__all__ = ["account_streams", "drain", "explain", "show_status"]

DRAIN_PATH = "/v1/drain"
DRAIN_TIMEOUT_S = 30.0
KEY_VARIABLE = "AMARANTHBAY_KEY"
JSON_OPTION = typer.Option(False, "--json", help="Print JSON.")


def show_status(
    address: str = typer.Argument(..., help="Address of any daemon."),
    as_json: bool = JSON_OPTION,
):
    """Shows daemons, backend servers, versions, leases and requests in progress.

    Each daemon reports its own version; the rest comes from the daemon asked.

    Example: amaranthbay status 127.0.0.1:8001
    """
    from amaranthbay.cli.fleet import fetch_status
    from amaranthbay.cli.status_text import daemon_rows, status_lines

    fetched = fetch_status(address)
    if fetched.is_err():
        fail(fetched.unwrap_err(), as_json=as_json)
    status = fetched.unwrap()
    rows = daemon_rows(status, fetch_status)
    if as_json:
        print_json({"daemons": rows, "status": status})
        return
    for line in status_lines(status, rows):
        typer.echo(line)


def drain(
    instance: str = typer.Argument(..., help="Instance of the daemon."),
    platform: str = typer.Option(..., help="Address of the platform."),
    operator: str = typer.Option(..., help="Name of the operator who gives the order."),
    key_file: Path = typer.Option(
        None, exists=True, dir_okay=False, help="File that holds the key."
    ),
    as_json: bool = JSON_OPTION,
):
    """Drains a daemon: it refuses new requests and stops when its requests have ended.

    The key comes from a file or from the environment variable AMARANTHBAY_KEY.
    Exits with 4 if the daemon refuses, 5 if its answer was lost.

    Example: amaranthbay drain entry-1 --platform 127.0.0.1:9000 --operator ana
    --key-file operator.key
    """
    from amaranthbay.cli.fleet import daemon_addresses

    addresses = daemon_addresses(platform)
    if addresses.is_err():
        fail(addresses.unwrap_err(), as_json=as_json)
    address = addresses.unwrap().get(instance)
    if address is None:
        listed = ", ".join(sorted(addresses.unwrap()))
        detail = f"no daemon {instance} in the instance list; listed daemons: {listed}"
        fail(detail, ExitCode.FAULTY_INPUT, as_json)
    reply = _send_drain(address, instance, operator, _read_keys(key_file), as_json)
    if as_json:
        print_json(reply)
    else:
        active = reply["active"]
        typer.echo(f"{instance} drains; requests in progress: {active}")


def _read_keys(key_file):
    """Returns the `KeyRing` of a file, or of the environment if there is no file."""
    from amaranthbay.kernel.errors import SettingsError
    from amaranthbay.peering.keys import KeyRing
    from amaranthbay.settings.daemon import KeySettings

    file = str(key_file) if key_file else ""
    variable = "" if key_file else KEY_VARIABLE
    try:
        return KeyRing([KeySettings("operator", file, variable)])
    except SettingsError as exc:
        fail(str(exc), ExitCode.FAULTY_INPUT)


def _send_drain(address, instance, operator, keys, as_json):
    """Sends the signed order to a daemon and returns its reply as a mapping.

    Raises:
        typer.Exit: If the daemon refused or gave no answer.
    """
    from amaranthbay.gateway.operator_calls import OperatorBody, sign_call
    from amaranthbay.kernel.clock import SystemClock
    from amaranthbay.utils.http import exchange_whole

    body = msgspec.json.encode(OperatorBody(operator, instance))
    call = sign_call(keys, "POST", DRAIN_PATH, body, SystemClock().now())
    outcome = exchange_whole(
        address, "POST", DRAIN_PATH, body, call.headers(), DRAIN_TIMEOUT_S
    )
    if outcome.is_err():
        failure = outcome.unwrap_err()
        not_run = failure.verdict == "not_run"
        fail(failure.detail, ExitCode.FAILED if not_run else ExitCode.UNKNOWN, as_json)
    status, raw = outcome.unwrap()
    if status != 202:
        detail = msgspec.json.decode(raw).get("detail", f"status {status}")
        fail(f"{instance} refused: {detail}", ExitCode.REFUSED, as_json)
    return msgspec.json.decode(raw)


def explain(
    request_id: str = typer.Argument(..., help="Id of the request."),
    logs: list[Path] = typer.Argument(
        None, help="Log files of the daemons; standard input by default."
    ),
    as_json: bool = JSON_OPTION,
):
    """Shows each decision and event of one request, from JSON log files.

    Exits with 1 if no line is about the request.

    Example: amaranthbay explain 4f0c... entry-1.log entry-2.log
    """
    from amaranthbay.observe.explain import describe_line, lines_about, read_lines

    try:
        lines = read_lines(logs) if logs else read_lines(None, sys.stdin)
        request_lines = lines_about(request_id, lines)
    except OSError as exc:
        fail(f"{exc.filename}: {exc.strerror}", ExitCode.FAULTY_INPUT, as_json)
    if not request_lines:
        fail(f"no log line is about request {request_id}", ExitCode.FAILED, as_json)
    if as_json:
        print_json(request_lines)
        return
    for line in request_lines:
        typer.echo(describe_line(line))


def account_streams(
    logs: list[Path] = typer.Argument(
        None, help="Log files of the daemons; standard input by default."
    ),
    target_s: float = typer.Option(
        1.0, help="Seconds after which an answer's start is late."
    ),
    gap_s: float = typer.Option(
        0.3, help="Seconds after which a pause between events is too long."
    ),
    as_json: bool = JSON_OPTION,
):
    """Counts streams by outcome and computed prompt tokens by use, from JSON log files.

    Example: amaranthbay streams --target-s 1.0 entry-1.log entry-2.log
    """
    from amaranthbay.observe.explain import read_lines
    from amaranthbay.observe.stream_summary import summarize_streams

    try:
        lines = read_lines(logs) if logs else read_lines(None, sys.stdin)
        summary = summarize_streams(lines, target_s, gap_s)
    except OSError as exc:
        fail(f"{exc.filename}: {exc.strerror}", ExitCode.FAULTY_INPUT, as_json)
    streams = {
        f"{outcome}: {reason}" if reason else str(outcome): count
        for (outcome, reason), count in sorted(summary.streams.items())
    }
    # Tokens without a cause of waste: a decode server fetched their KV cache.
    tokens = {
        cause or "fetched": count for cause, count in sorted(summary.tokens.items())
    }
    if as_json:
        print_json({"streams": streams, "prompt_tokens": tokens})
        return
    for title, counts in (("streams", streams), ("prompt tokens", tokens)):
        typer.echo(f"{title}: {sum(counts.values())}")
        for name, count in counts.items():
            typer.echo(f"  {count:>9}  {name}")
