"""Demo: sends requests to a small deployment on loopback and kills a daemon.

``python -m amaranthbay.standins.demo`` exits with 0 only if every outcome is as
expected. SIGINT and SIGTERM end it early, together with all processes that it started.
"""

from amaranthbay.utils.runtime import select_event_loop

select_event_loop()

import signal  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
import typer  # noqa: E402

from amaranthbay.standins.demo_report import print_report  # noqa: E402
from amaranthbay.standins.demo_requests import run_demo_requests  # noqa: E402
from amaranthbay.standins.processes import Deployment  # noqa: E402

__all__ = ["main"]

TIME_LIMIT_S = 60.0
EXIT_UNEXPECTED = 1
EXIT_INTERRUPTED = 130
DOCUMENT_BYTES = 50_000
SENTENCE = "The tenant reported on day {} that the notice of the order had not come. "


def generated_document():
    """Returns a text of 50 KB, the same in every run."""
    sentences = []
    length = 0
    while length < DOCUMENT_BYTES:
        sentences.append(SENTENCE.format(len(sentences) + 1))
        length += len(sentences[-1])
    return "".join(sentences)[:DOCUMENT_BYTES]


def run_demo(document, daemon_command):
    """Runs the demo and prints its report.

    Args:
        document: Text of the long prompt.
        daemon_command: Command that runs the daemons; empty runs the source.

    Returns:
        Whether every outcome is as expected.

    Raises:
        gevent.Timeout: If the demo takes longer than `TIME_LIMIT_S`.
    """
    deployment = Deployment(daemon_command=daemon_command)
    with gevent.Timeout(TIME_LIMIT_S), deployment:
        report = run_demo_requests(deployment, document)
        print_report(report)
    return report.as_expected


def main(
    file: Path = typer.Option(
        None, exists=True, dir_okay=False, help="Text of the long prompt."
    ),
    program: Path = typer.Option(
        None, exists=True, dir_okay=False, help="Program file that runs the daemons."
    ),
):
    """Sends requests to a small deployment and kills a daemon; under 30 seconds."""
    document = file.read_text(errors="replace") if file else generated_document()
    command = (str(program.resolve()),) if program else ()
    job = gevent.spawn(run_demo, document, command)

    def interrupt():
        # A second signal would interrupt the clean-up, so only the first one counts.
        if not job.dead and not interrupted:
            interrupted.append(True)
            job.kill(block=False)

    interrupted = []
    for signum in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signum, interrupt)
    job.join()
    if interrupted:
        typer.echo("interrupted; all processes have ended", err=True)
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(0 if job.value is True else EXIT_UNEXPECTED)


if __name__ == "__main__":
    typer.run(main)
