"""Settings of a daemon: all faults with their places, keys from two sources."""

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
GOOD = """\
instance = "entry-1"
availability_zone = "zone-a"
region = "region-1"
caller_address = "127.0.0.1:8001"
membership_address = "127.0.0.1:8002"
peer_address = "127.0.0.1:8003"
platform_address = "127.0.0.1:9000"
"""


def settings_file(case, text):
    """Returns the path of a settings file."""
    path = Path(case.enterContext(TemporaryDirectory())) / "daemon.toml"
    path.write_text(text)
    return path


def faults_of(case, text):
    """Returns line and key of each fault."""
    return [(f.line, f.key) for f in check_settings(settings_file(case, text)).faults]


def test_good_settings_load(case):
    """Guards against rules that refuse a usual file."""
    loaded = load_settings(settings_file(case, GOOD))
    case.assertEqual(loaded.limits.connections, 4096)
    case.assertEqual(loaded.keys, ())


def test_every_fault_is_named_with_its_place(case):
    """Guards against one report a fault, which costs a start each."""
    text = GOOD.replace("8001", "0").replace('"127.0.0.1:9000"', '"platform:9000"')
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


def test_values_that_do_not_fit_each_other(case):
    """Guards against a daemon that starts and fails at its first request."""
    text = GOOD.replace("8003", "8001") + 'placement_policy = "best"\n'
    text += 'slot_allocator = "none"\n'
    case.assertEqual(
        faults_of(case, text),
        [(6, "peer_address"), (8, "placement_policy"), (9, "slot_allocator")],
    )
    case.assertEqual(faults_of(case, GOOD.replace("8001", "0"))[0][0], 4)


def test_keys_come_from_a_file_or_the_environment(case):
    """Guards against a key that can't be read when it is needed."""
    path = settings_file(case, "k" * 32)
    text = f'[[keys]]\nid = "a"\nfile = "{path}"\n'
    text += '[[keys]]\nid = "b"\nenvironment = "AMARANTHBAY_TEST_KEY"\n'
    case.assertEqual(faults_of(case, GOOD + text), [(13, "keys[1].environment")])
    with mock.patch.dict("os.environ", {"AMARANTHBAY_TEST_KEY": "k" * 32}):
        case.assertEqual(faults_of(case, GOOD + text), [])
    wrong = GOOD + '[[keys]]\nid = "a"\nfile = "x"\n[[keys]]\nid = "a"\n'
    case.assertEqual(
        faults_of(case, wrong),
        [(10, "keys[0].file"), (11, "keys[1].file"), (12, "keys[1].id")],
    )


def test_load_raises_with_all_faults(case):
    """Guards against a start that reports only the first fault."""
    with case.assertRaises(SettingsError) as caught:
        load_settings(settings_file(case, "instance = 1\n"))
    case.assertEqual(len(caught.exception.faults), 7)


def test_command_ends_with_two(case):
    """Guards against a roll-out script that takes faulty settings for good."""
    path = str(settings_file(case, GOOD))
    case.assertEqual(CliRunner().invoke(app, ["settings", "check", path]).exit_code, 0)
    bad = str(settings_file(case, GOOD + "colour = 1\n"))
    result = CliRunner().invoke(app, ["settings", "check", bad])
    case.assertEqual(result.exit_code, 2)
    case.assertIn(f"{bad}:8: colour = 1: allowed is one of", result.stderr)


def test_check_knows_all_plug_ins_in_a_fresh_process(case):
    """Guards against a plug-in that only the daemon's other imports register."""
    path = settings_file(case, GOOD)
    command = [sys.executable, "-m", "amaranthbay", "settings", "check", str(path)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=30)
    case.assertEqual(done.returncode, 0, done.stderr)


load_tests = collect(globals())
