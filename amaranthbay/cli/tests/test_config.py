"""Tests of the configuration commands that need files only."""

from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from typer.testing import CliRunner

from amaranthbay.cli import app
from amaranthbay.config.template import TEMPLATE
from amaranthbay.utils.testing import collect

# Input of `config ask`, one answer a line; an empty line ends a list.
DIALOGUE = """\
shop
goodput
zone-a
2

counter
y
1300
0

tills
plain
zone-a
3

n
y

till
plain
counter
tills
POST /sales

"""


def run(*args, input_text=None):
    """Runs a command in this process.

    Args:
        args: Arguments of the command.
        input_text: Text on standard input.

    Returns:
        `click.testing.Result`.
    """
    return CliRunner().invoke(app, [str(arg) for arg in args], input=input_text)


def temporary_folder(case):
    """Returns an empty folder that is removed after the test."""
    return Path(case.enterContext(TemporaryDirectory()))


def test_template_leads_to_a_configuration(case):
    """Guards against a command that refuses the file that another one wrote."""
    folder = temporary_folder(case)
    answers, cfg = folder / "answers.toml", folder / "config.toml"
    written = run("config", "ask", "--template", "--output", answers)
    case.assertEqual(written.exit_code, 0, written.output)
    case.assertEqual(run("config", "check", answers).exit_code, 0)
    generated = run("config", "generate", answers, "--output", cfg)
    case.assertEqual(generated.exit_code, 0, generated.output)
    case.assertEqual(run("config", "check", cfg).exit_code, 0)
    case.assertEqual(run("config", "diff", cfg, cfg).exit_code, 0)


def test_dialogue_writes_answers(case):
    """Guards against a dialogue whose answers fail the checks."""
    path = temporary_folder(case) / "answers.toml"
    asked = run("config", "ask", "--output", path, input_text=DIALOGUE)
    case.assertEqual(asked.exit_code, 0, asked.output)
    checked = run("config", "check", path, "--json")
    case.assertEqual(checked.exit_code, 0, checked.output)
    case.assertIn('non_idempotent = ["POST /sales"]', path.read_text())


def test_dialogue_reports_contradictions(case):
    """Guards against contradictory answers that are written without an error."""
    path = temporary_folder(case) / "answers.toml"
    text = DIALOGUE.replace("\ncounter\ntills\n", "\nshop\ntills\n")
    asked = run("config", "ask", "--output", path, input_text=text)
    case.assertEqual(asked.exit_code, 2, asked.output)
    case.assertIn("services[0].callers", asked.output)


def test_faults_exit_with_two(case):
    """Guards against a configuration that is generated from faulty answers."""
    path = temporary_folder(case) / "answers.toml"
    path.write_text(TEMPLATE.replace("zone-b = 1", "zone-b = 0"))
    for command in ("check", "generate"):
        with case.subTest(command):
            result = run("config", command, path, "--json")
            case.assertEqual(result.exit_code, 2)
            faults = msgspec.json.decode(result.stdout)["faults"]
            case.assertEqual(faults[0]["key"], "entry_instances")
            case.assertGreater(faults[0]["line"], 1)


def test_diff_exits_with_one_on_a_difference(case):
    """Guards against an exit code that hides a difference from scripts."""
    folder = temporary_folder(case)
    for name, weigh_more in (("a", "both_alike"), ("b", "goodput")):
        answers = folder / f"{name}-answers.toml"
        answers.write_text(TEMPLATE.replace('= "both_alike"', f'= "{weigh_more}"'))
        run("config", "generate", answers, "--output", folder / f"{name}.toml")
    result = run("config", "diff", folder / "a.toml", folder / "b.toml")
    case.assertEqual(result.exit_code, 1)
    case.assertIn("changes from 0.5 to 0.75", result.stdout)


load_tests = collect(globals())
