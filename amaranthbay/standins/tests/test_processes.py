"""The harness that runs a deployment as processes."""

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from amaranthbay.standins.processes import Deployment, Process
from amaranthbay.utils.testing import collect, wait_until


def test_key_file_is_whole_whenever_a_daemon_reads_it(case):
    """Guards against a daemon that reads the key while the harness writes it again."""
    folder = Path(case.enterContext(TemporaryDirectory()))
    deployment = Deployment(folder)
    deployment.platform = mock.Mock(address="127.0.0.1:1")
    seen = []

    def read_key(name, *args, **kwargs):
        seen.append(deployment.key_path.read_text())
        return mock.Mock()

    with mock.patch.object(Deployment, "_start", side_effect=read_key):
        deployment.start_daemon("entry-1")
        reader = case.enterContext(open(deployment.key_path))
        deployment.key = "another-key-of-a-deployment"
        with mock.patch.object(Path, "write_text", write_half(Path.write_text)):
            with case.assertRaises(InterruptedError):
                deployment.start_daemon("entry-2")
    case.assertEqual(deployment.key_path.read_text(), seen[0])
    case.assertEqual(reader.read(), seen[0])


def write_half(write_text):
    """Returns a replacement of `Path.write_text` that is interrupted half-way."""

    def write(path, text):
        write_text(path, text[: len(text) // 2])
        raise InterruptedError

    return write


def test_log_line_that_is_being_written_is_left_for_later(case):
    """Guards against decoding the first half of a line."""
    folder = Path(case.enterContext(TemporaryDirectory()))
    process = Process("entry-1", mock.Mock(), None, folder / "entry-1.log")
    process.log_path.write_text('{"event":"started"}\nno JSON\n{"event":"dra')
    case.assertEqual(process.log_lines(), [{"event": "started"}])


def test_daemon_without_a_configuration_answers_its_status(case):
    """Guards against taking a daemon that starts for a foreign process on its port."""
    deployment = case.enterContext(Deployment())
    deployment.start_daemon("entry-1")
    deployment.publish()

    def answered():
        try:
            return deployment.status("entry-1")
        except OSError:
            return None

    status = wait_until(answered)
    case.assertEqual(status["config_version"], 0)
    case.assertIn("members", status)


load_tests = collect(globals())
