"""Demonstration: a small deployment on loopback, requests and a killed daemon.

``python -m amaranthbay.standins.demo`` ends with 0 only if everything that it
shows was right. SIGINT and SIGTERM end it early, with every process it started.
"""

from amaranthbay.utils.runtime import pin_event_loop

pin_event_loop()

import signal  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import typer  # noqa: E402

from amaranthbay.standins.demo_report import print_report  # noqa: E402
from amaranthbay.standins.demo_scenes import run_scenes  # noqa: E402
from amaranthbay.standins.processes import Deployment  # noqa: E402

__all__ = ["main"]

TIME_LIMIT_S = 60.0
EXIT_WRONG = 1
EXIT_INTERRUPTED = 130
DOCUMENT_BYTES = 50_000
SENTENCE = "The tenant reported on day {} that the notice of the order had not come. "


def generated_document():
    """Returns a document of 50 KB that is the same in every run."""
    sentences = []
    length = 0
    while length < DOCUMENT_BYTES:
        sentences.append(SENTENCE.format(len(sentences) + 1))
        length += len(sentences[-1])
    return "".join(sentences)[:DOCUMENT_BYTES]


def run(document, program):
    """Runs the demonstration; returns whether all that it showed was right."""
    deployment = Deployment(program=program)
    with gevent.Timeout(TIME_LIMIT_S), deployment:
        report = run_scenes(deployment, document)
        print_report(report)
    return report.right


def main(
    file: Path = typer.Option(
        None, exists=True, dir_okay=False, help="Text of the long prompt."
    ),
    program: Path = typer.Option(
        None, exists=True, dir_okay=False, help="Program file that runs the daemons."
    ),
):
    """Shows a small deployment at work; under 30 seconds."""
    document = file.read_text(errors="replace") if file else generated_document()
    command = (str(program.resolve()),) if program else ()
    job = gevent.spawn(run, document, command)

    def interrupt():
        # Only the first signal counts: a second one would cut the clean-up short.
        if not job.dead and not interrupted:
            interrupted.append(True)
            job.kill(block=False)

    interrupted = []
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, interrupt)
    job.join()
    if interrupted:
        typer.echo("interrupted; every process has ended", err=True)
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(0 if job.value is True else EXIT_WRONG)


if __name__ == "__main__":
    typer.run(main)
