"""Tests of a daemon's settings: reported faults, their lines, sources of keys."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from typer.testing import CliRunner

from amaranthbay.cli import app
from amaranthbay.kernel.errors import SettingsError
from amaranthbay.settings import check_settings, load_settings
from amaranthbay.utils.testing import collect

ROOT = Path(__file__).resolve().parents[3]
VALID = """\
instance = "entry-1"
availability_zone = "zone-a"
region = "region-1"
caller_address = "127.0.0.1:8001"
membership_address = "127.0.0.1:8002"
peer_address = "127.0.0.1:8003"
platform_address = "127.0.0.1:9000"
"""


def settings_file(case, text):
    """Writes a settings file and returns its path."""
    path = Path(case.enterContext(TemporaryDirectory())) / "daemon.toml"
    path.write_text(text)
    return path


def faults_of(case, text):
    """Returns the line and the key of each fault of a settings file."""
    return [
        (fault.line, fault.key)
        for fault in check_settings(settings_file(case, text)).faults
    ]


def test_valid_settings_load(case):
    """Guards against rules that reject a valid file."""
    loaded = load_settings(settings_file(case, VALID))
    case.assertEqual(loaded.limits.connections, 4096)
    case.assertEqual(loaded.keys, ())


def test_every_fault_is_reported_with_its_line(case):
    """Guards against reporting one fault at a time, which costs a start for each."""
    text = VALID.replace("8001", "0").replace('"127.0.0.1:9000"', '"platform:9000"')
    text += 'log_level = "loud"\nmetrics_endpoint = "collector"\n[limits]\n'
    text += "body_bytes = 12\nqueue = 5\n"
    case.assertEqual(
        faults_of(case, text),
        [
            (7, "platform_address"),
            (8, "log_level"),
            (9, "metrics_endpoint"),
            (11, "limits.body_bytes"),
            (12, "limits.queue"),
        ],
    )


def test_contradictory_values_are_faults(case):
    """Guards against a daemon that starts but fails at its first request."""
    text = VALID.replace("8003", "8001") + 'placement_policy = "best"\n'
    text += 'slot_allocator = "none"\n'
    case.assertEqual(
        faults_of(case, text),
        [(6, "peer_address"), (8, "placement_policy"), (9, "slot_allocator")],
    )
    case.assertEqual(faults_of(case, VALID.replace("8001", "0"))[0][0], 4)


def test_keys_come_from_a_file_or_the_environment(case):
    """Guards against keys that turn out to be unreadable only when they are needed."""
    path = settings_file(case, "k" * 32)
    text = f'[[keys]]\nid = "a"\nfile = "{path}"\n'
    text += '[[keys]]\nid = "b"\nenvironment = "AMARANTHBAY_TEST_KEY"\n'
    case.assertEqual(faults_of(case, VALID + text), [(13, "keys[1].environment")])
    with mock.patch.dict("os.environ", {"AMARANTHBAY_TEST_KEY": "k" * 32}):
        case.assertEqual(faults_of(case, VALID + text), [])
    invalid = VALID + '[[keys]]\nid = "a"\nfile = "x"\n[[keys]]\nid = "a"\n'
    case.assertEqual(
        faults_of(case, invalid),
        [(10, "keys[0].file"), (11, "keys[1].file"), (12, "keys[1].id")],
    )


def test_load_raises_with_all_faults(case):
    """Guards against a start that reports only the first fault."""
    with case.assertRaises(SettingsError) as caught:
        load_settings(settings_file(case, "instance = 1\n"))
    # One wrong value and six missing keys.
    case.assertEqual(len(caught.exception.faults), 7)


def test_check_command_exits_with_two_on_faults(case):
    """Guards against a roll-out script that accepts faulty settings."""
    path = str(settings_file(case, VALID))
    case.assertEqual(CliRunner().invoke(app, ["settings", "check", path]).exit_code, 0)
    faulty = str(settings_file(case, VALID + "colour = 1\n"))
    result = CliRunner().invoke(app, ["settings", "check", faulty])
    case.assertEqual(result.exit_code, 2)
    case.assertIn(f"{faulty}:8: colour = 1: allowed is one of", result.stderr)


def test_check_command_knows_all_plug_ins(case):
    """Guards against plug-ins that are registered only by other imports of a daemon."""
    path = settings_file(case, VALID)
    command = [sys.executable, "-m", "amaranthbay", "settings", "check", str(path)]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=30)
    case.assertEqual(completed.returncode, 0, completed.stderr)


load_tests = collect(globals())
