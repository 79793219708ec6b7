"""Outcomes of the demo's requests and checks, and their printed report."""

from dataclasses import dataclass, field

from rich.console import Console
from rich.table import Table

__all__ = ["Report", "RequestRow", "instances_used", "print_report"]

TABLE_WIDTH = 132


@dataclass(frozen=True)
class RequestRow:
    """One request of the demo, a row of the printed table.

    Attributes:
        name: Short description of the request.
        request_id: Id of the request, also in the logs.
        first_token_s: Seconds to the first token, or to the reply of a plain call; None
            if there was none.
        tokens: Number of tokens received; None for a plain call.
        verdict: ``ran``, or the verdict of the last failure.
        as_expected: Whether the outcome is the expected one.
        note: Remark, such as the failures before a retry.
    """

    name: str
    request_id: str
    first_token_s: float | None
    tokens: int | None
    verdict: str
    as_expected: bool
    note: str = ""


@dataclass
class Report:
    """Everything that the demo shows.

    Attributes:
        lines: Lines printed before the table.
        rows: `RequestRow` of each request.
        checks: Pairs of a statement and whether it holds.
        used_instances: By request id, the daemon and the backend servers that served
            the request.
    """

    lines: list = field(default_factory=list)
    rows: list = field(default_factory=list)
    checks: list = field(default_factory=list)
    used_instances: dict = field(default_factory=dict)

    @property
    def as_expected(self):
        """Whether every row and check is as expected."""
        checks_passed = all(passed for _, passed in self.checks)
        return (
            bool(self.rows)
            and checks_passed
            and all(row.as_expected for row in self.rows)
        )


def instances_used(log_lines):
    """Returns, by request id, the instances of the last logged decision on it.

    Args:
        log_lines: Decoded log lines of all daemons.
    """
    decisions = [
        line
        for line in log_lines
        if line.get("decision") in ("placement", "routing") and line.get("chosen")
    ]
    used_instances = {}
    for line in sorted(decisions, key=lambda line: line["time"]):
        chosen = line["chosen"]
        servers = [chosen] if isinstance(chosen, str) else chosen
        used_instances[line["request_id"]] = " > ".join([line["instance"], *servers])
    return used_instances


def print_report(report):
    """Prints a `Report`."""
    console = Console(width=TABLE_WIDTH, highlight=False)
    for line in report.lines:
        console.print(line)
    table = Table("request", "instances used", show_lines=False)
    table.add_column("first token", justify="right")
    table.add_column("tokens", justify="right")
    for name in ("verdict", "as expected", "note"):
        table.add_column(name)
    for row in report.rows:
        table.add_row(
            row.name,
            report.used_instances.get(row.request_id, "-"),
            "-" if row.first_token_s is None else f"{row.first_token_s * 1000:.0f} ms",
            "-" if row.tokens is None else str(row.tokens),
            row.verdict,
            "yes" if row.as_expected else "NO",
            row.note,
        )
    console.print(table)
    for statement, passed in report.checks:
        console.print(f"{'right' if passed else 'WRONG'}: {statement}")
