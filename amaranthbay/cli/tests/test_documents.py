"""Tests that the commands, names and links in the documents exist and work."""

import os
import re
import shlex
from pathlib import Path

from amaranthbay.cli.output import ExitCode
from amaranthbay.cli.tests.test_config import run
from amaranthbay.client import Client
from amaranthbay.standins.processes import Deployment, start_small_deployment
from amaranthbay.utils.testing import collect

ROOT = Path(__file__).resolve().parents[3]
DOCS = ROOT / "docs"
PAGES = [ROOT / "README.md", *sorted(DOCS.glob("*.md"))]


def commands_of(page):
    """Returns the words of each command in the shell blocks of a page."""
    blocks = re.findall(r"```sh\n(.*?)```", page.read_text(), re.DOTALL)
    lines = [line for block in blocks for line in block.splitlines() if line]
    return [shlex.split(line) for line in lines]


def start_serving_deployment(case):
    """Starts a deployment for the commands of the operations page.

    Its folder holds the operator's key file that the page names, and one request has
    been served.
    """
    deployment = case.enterContext(Deployment())
    start_small_deployment(deployment, daemons=2)
    (deployment.folder / "operator.key").write_text(deployment.key)
    address = deployment.daemons["entry-1"].address
    Client([address], "ws-1").call("ledger", "GET", "/x", request_id="request-7")
    return deployment


def test_commands_of_the_operations_page_work(case):
    """Guards against commands that were changed in the code only."""
    commands = commands_of(DOCS / "OPERATIONS.md")
    case.assertGreater(len(commands), 10)
    deployment = start_serving_deployment(case)
    real_addresses = {
        "127.0.0.1:9000": deployment.platform.address,
        "127.0.0.1:8001": deployment.daemons["entry-1"].address,
    }
    case.addCleanup(os.chdir, os.getcwd())
    os.chdir(deployment.folder)
    for program, *args in commands:
        with case.subTest(" ".join(args)):
            case.assertEqual(program, "amaranthbay")
            result = run(*[real_addresses.get(arg, arg) for arg in args])
            if "--in-force" in args:
                # Daemons adopt a version within seconds; before that they lag.
                deployment.wait_ready(version=2)
                result = run(*[real_addresses.get(arg, arg) for arg in args])
            case.assertEqual(result.exit_code, 0, result.output)
    case.assertEqual(deployment.daemons["entry-1"].popen.wait(10), 0)


def test_page_lists_every_exit_code(case):
    """Guards against an exit code that is not documented."""
    text = (DOCS / "OPERATIONS.md").read_text()
    section = text.partition("## Exit codes")[2].partition("##")[0]
    listed = [int(code) for code in re.findall(r"^\| (\d) \|", section, re.MULTILINE)]
    case.assertEqual(listed, sorted({int(code) for code in ExitCode}))


def test_alarms_name_events_and_metrics_that_exist(case):
    """Guards against an alarm on an event or a metric that the program never emits."""
    alarms = (DOCS / "OPERATIONS.md").read_text().partition("## Alarms")[2]
    events = re.findall(r"event `([a-z_]+)`", alarms)
    logs_page = (DOCS / "logs.md").read_text()
    case.assertGreater(len(events), 3)
    for event in events:
        case.assertIn(f"| `{event}` |", logs_page)
    source = (ROOT / "amaranthbay" / "observe" / "otel.py").read_text()
    for metric in re.findall(r"`(amaranthbay\.[a-z_.]+)`", alarms):
        case.assertIn(f'"{metric}"', source)


def test_links_between_pages_work(case):
    """Guards against links to pages that were moved or removed."""
    for page in PAGES:
        for link in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
            if not link.startswith("http"):
                case.assertTrue((page.parent / link).exists(), f"{page.name}: {link}")


load_tests = collect(globals())
