"""Tests of the command that checks an operator's configuration."""

import json
import re

import msgspec

from amaranthbay.cli.tests.test_config import run, temporary_folder
from amaranthbay.cli.tests.test_documents import DOCS
from amaranthbay.platform.tests.fixtures import configuration
from amaranthbay.platform.tests.standins import StoreStandin, serve_http
from amaranthbay.utils.testing import collect

KEY = "k8nbk-secret"


def write(folder, name, **fields):
    path = folder / name
    path.write_bytes(msgspec.json.encode(configuration() | fields))
    return path


def test_exit_code_says_how_serious_the_findings_are(case):
    """Guards against a script that sends a faulty configuration."""
    folder = temporary_folder(case)
    sound = write(folder, "sound.json")
    unused = write(folder, "unused.json", Tenants=[{"Name": "w", "ApiKeys": [""]}])
    faulty = write(folder, "faulty.json", Routes=5)
    for path, code, text in (
        (sound, 0, f"{sound}: no finding\n"),
        (unused, 1, "entries without effect:\n  Tenants[0].ApiKeys: "),
        (faulty, 2, "errors:\n  Routes: Expected `array`, got `int`\n"),
        (folder / "none.json", 2, ""),
    ):
        result = run("check", path)
        case.assertEqual(result.exit_code, code, result.output)
        case.assertIn(text, result.output)
    both = run("check", sound, "--in-force", sound, "--store", "127.0.0.1:9")
    case.assertEqual(both.exit_code, 2)


def test_differences_from_the_version_in_force_are_printed(case):
    """Guards against a change that an operator didn't intend, and printed keys."""
    folder = temporary_folder(case)
    new = write(
        folder, "new.json", Version=2, Tenants=[{"Name": "w", "ApiKeys": [KEY]}]
    )
    old = write(folder, "old.json")
    store = StoreStandin(era=1)
    address = case.enterContext(serve_http(store.answer))
    result = run("check", new, "--store", address)
    case.assertEqual((result.exit_code, result.output.count("has no conf")), (1, 1))
    store.put("op", "config", configuration())
    for source in (("--in-force", old), ("--store", address)):
        result = run("check", new, *source)
        case.assertEqual(result.exit_code, 0, result.output)
        case.assertIn(
            "from version 1, which is in force:\n  Callers need keys", result.output
        )
        case.assertIn("  The workspace w is new.\n", result.output)
        report = run("check", new, "--json", *source).output
        case.assertEqual(len(json.loads(report)["differences"]), 2)
        case.assertNotIn(KEY, result.output + report)
    same = run("check", old, "--in-force", old).output
    case.assertIn("no difference from version 1", same)
    faulty = write(folder, "faulty.json", Routes=5)
    case.assertEqual(run("check", new, "--in-force", faulty).exit_code, 2)
    case.assertEqual(run("check", new, "--store", "127.0.0.1:9").exit_code, 1)


def test_control_characters_are_escaped(case):
    """Guards against names in the store that write to the operator's terminal."""
    folder = temporary_folder(case)
    document = configuration()
    document["Routes"][0]["Name"] = "é\x1b[2J\nx"
    new = write(folder, "new.json", Version=2, Routes=document["Routes"])
    result = run("check", new, "--in-force", write(folder, "old.json"))
    case.assertIn("  The route é\\x1b[2J\\nx is new.\n", result.output)


def test_example_of_the_operations_page_is_what_the_command_prints(case):
    """Guards against a page that describes another output."""
    page = (DOCS / "OPERATIONS.md").read_text()
    section = page.partition("### Check a configuration")[2].partition("\n#")[0]
    body, printed = re.search(
        r"```json\n(.*?)```.*?```\n(.*?)```", section, re.S
    ).groups()
    folder = temporary_folder(case)
    (folder / "new.json").write_text(body)
    command, _, output = printed.partition("\n")
    case.assertEqual(command, "$ amaranthbay check new.json")
    case.assertEqual(run("check", folder / "new.json").output, output)


load_tests = collect(globals())
