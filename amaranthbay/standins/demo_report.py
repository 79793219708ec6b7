"""What the demonstration found, and the table that shows it."""

from dataclasses import dataclass, field

from rich.console import Console
from rich.table import Table

__all__ = ["Report", "RequestRow", "instances_used", "print_report"]

TABLE_WIDTH = 132


@dataclass(frozen=True)
class RequestRow:
    """One request of the demonstration.

    Attributes:
        name: What was sent.
        request_id: Its identity in the logs.
        first_token_s: Seconds to the first token or byte; None if there was none.
        tokens: Tokens received; None for a plain call.
        verdict: What the caller was told.
        right: Whether the outcome is the expected one.
        note: What else a reader should know.
    """

    name: str
    request_id: str
    first_token_s: float | None
    tokens: int | None
    verdict: str
    right: bool
    note: str = ""


@dataclass
class Report:
    """Everything that the demonstration shows."""

    lines: list = field(default_factory=list)
    rows: list = field(default_factory=list)
    checks: list = field(default_factory=list)
    used: dict = field(default_factory=dict)

    @property
    def right(self):
        """Whether every row and check is as expected."""
        checked = all(passed for _, passed in self.checks)
        return bool(self.rows) and checked and all(row.right for row in self.rows)


def instances_used(log_lines):
    """Returns the instances of each request's last decision, by request id.

    Args:
        log_lines: Decoded log lines of all daemons.
    """
    decisions = [
        line
        for line in log_lines
        if line.get("decision") in ("placement", "routing") and line.get("chosen")
    ]
    used = {}
    for line in sorted(decisions, key=lambda line: line["time"]):
        chosen = line["chosen"]
        servers = [chosen] if isinstance(chosen, str) else chosen
        used[line["request_id"]] = " > ".join([line["instance"], *servers])
    return used


def print_report(report):
    """Prints the table and the checks."""
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
            report.used.get(row.request_id, "-"),
            "-" if row.first_token_s is None else f"{row.first_token_s * 1000:.0f} ms",
            "-" if row.tokens is None else str(row.tokens),
            row.verdict,
            "yes" if row.right else "NO",
            row.note,
        )
    console.print(table)
    for sentence, passed in report.checks:
        console.print(f"{'right' if passed else 'WRONG'}: {sentence}")
