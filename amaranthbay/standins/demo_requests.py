"""The requests that the demo sends and what it expects of each."""

import time
import uuid

import gevent
import gevent.event
import msgspec
import uuid6

from amaranthbay.client import CallFailed, Client
from amaranthbay.config import generate, load_answers
from amaranthbay.config.template import TEMPLATE
from amaranthbay.standins.demo_report import Report, RequestRow, instances_used
from amaranthbay.standins.processes import call_json, start_small_deployment
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.testing import wait_until

__all__ = ["run_demo_requests"]

WORKSPACE = "ws-1"
DOCUMENT_ANSWER_TOKENS = 120
BURST_SIZE = 8
SHORT_ANSWER_TOKENS = 12
# Long enough that its daemon can be killed while it streams the answer.
LONG_ANSWER_TOKENS = 120
KILL_AFTER_TOKENS = 5
MAX_SENDS = 6
RELEASE_TIMEOUT_S = 5.0
RESEND_DELAY_S = 0.2
POSTING = {"account": "tenant-7", "amount": 250, "reference": "demo-posting"}


class CompletionSender:
    """Sends one completion, and sends it again if it fails, up to `MAX_SENDS` times.

    Attributes:
        client: `Client` that sends the completion.
        request_id: Id of the request, the same for each send.
        kill_point_reached: Set once `KILL_AFTER_TOKENS` tokens have arrived.
    """

    def __init__(self, seeds, name, prompt, max_tokens, workspace=WORKSPACE, caller=""):
        self.client = Client(seeds, workspace, caller)
        self.request_id = uuid.uuid4().hex
        self.kill_point_reached = gevent.event.Event()
        self._name = name
        self._prompt = prompt
        self._max_tokens = max_tokens
        self._first_token_at = None

    def run(self):
        """Returns the `RequestRow` of the completion."""
        failures = []
        for _ in range(MAX_SENDS):
            sent_at = time.monotonic()
            self._first_token_at = None
            try:
                texts = self._receive()
            except CallFailed as exc:
                failures.append(exc.verdict)
                gevent.sleep(RESEND_DELAY_S)
                continue
            expected = answer_text(self._prompt, self._max_tokens)
            as_expected = "".join(texts) == expected
            note = f"sent again after {', '.join(failures)}" if failures else ""
            first_token_s = self._first_token_at - sent_at
            return self._row(first_token_s, len(texts), "ran", as_expected, note)
        return self._row(None, 0, failures[-1], False, f"sent {MAX_SENDS} times")

    def _receive(self):
        """Returns the texts of the answer's tokens; raises CallFailed."""
        texts = []
        stream = self.client.complete(
            "summary", self._prompt, self._max_tokens, self.request_id
        )
        for text in stream:
            if not text:
                continue
            if self._first_token_at is None:
                self._first_token_at = time.monotonic()
            texts.append(text)
            if len(texts) == KILL_AFTER_TOKENS:
                self.kill_point_reached.set()
        return texts

    def _row(self, first_token_s, tokens, verdict, as_expected, note):
        name, request_id = self._name, self.request_id
        return RequestRow(
            name, request_id, first_token_s, tokens, verdict, as_expected, note
        )


def run_demo_requests(deployment, document):
    """Sends all requests of the demo to a new deployment and checks the outcomes.

    Args:
        deployment: `Deployment` in which only the platform runs.
        document: Text of the long prompt.

    Returns:
        `Report` of the demo.
    """
    report = Report()
    cfg = _generated_configuration(deployment, report)
    start_small_deployment(deployment, cfg=cfg)
    seeds = [daemon.address for daemon in deployment.daemons.values()]
    _check_lookup(deployment, seeds, report)
    name = f"long prompt, {len(document.encode()) // 1000} KB"
    long_prompt = CompletionSender(
        seeds, name, document, DOCUMENT_ANSWER_TOKENS, caller="desk"
    )
    report.rows.append(long_prompt.run())
    _post_twice(deployment, seeds, report)
    _kill_daemon_in_burst(deployment, seeds, report)
    report.checks.append(
        (
            "no engine holds memory for these requests",
            _is_engine_memory_released(deployment),
        )
    )
    log_lines = [
        line for daemon in deployment.daemons.values() for line in daemon.log_lines()
    ]
    report.used_instances = instances_used(log_lines)
    return report


def _is_engine_memory_released(deployment):
    """Returns whether all engines release their memory in time."""
    try:
        return wait_until(
            lambda: not deployment.attempts_in_memory(), RELEASE_TIMEOUT_S
        )
    except TimeoutError:
        return False


def _generated_configuration(deployment, report):
    """Returns the configuration generated from the template of the answers file."""
    path = deployment.folder / "answers.toml"
    path.write_text(TEMPLATE)
    checked = load_answers(path)
    report.checks.append(("the answers in the template are valid", not checked.faults))
    generated = generate(checked.value)
    count = len(generated.reasons)
    report.lines.append(
        f"configuration: generated, with a reason for each of {count} values"
    )
    return generated.configuration


def _check_lookup(deployment, seeds, report):
    """Checks that a lookup returns the addresses of all daemons."""
    addresses = Client(seeds, WORKSPACE).addresses("summary")
    names = {daemon.address: name for name, daemon in deployment.daemons.items()}
    ordered = ", ".join(names.get(address, address) for address in addresses)
    report.lines.append(f"lookup at {seeds[0]} for {WORKSPACE}, best first: {ordered}")
    report.checks.append(
        ("the lookup returns every daemon", set(addresses) == set(names))
    )


def _post_twice(deployment, seeds, report):
    """Sends one ledger posting to two daemons with the same idempotency key."""
    key = str(uuid6.uuid7())
    body = msgspec.json.encode(POSTING)
    replies = []
    for number, seed in enumerate(seeds[:2], 1):
        client = Client([seed], WORKSPACE)
        # Without a lookup, the posting goes to this daemon and to no other.
        client.addresses = lambda service, address=seed: (address,)
        request_id = uuid.uuid4().hex
        sent_at = time.monotonic()
        try:
            reply = client.call(
                "ledger", "POST", "/postings", body, key, request_id=request_id
            )
            replies.append(reply.body)
            verdict = "ran"
        except CallFailed as exc:
            verdict = exc.verdict
        elapsed_s = time.monotonic() - sent_at
        name = f"posting, send {number}"
        note = "" if number == 1 else "same key, recorded answer"
        as_expected = verdict == "ran" and len(set(replies)) == 1
        report.rows.append(
            RequestRow(name, request_id, elapsed_s, None, verdict, as_expected, note)
        )
    ledger = deployment.backend_servers["ledger-1"].address
    counts = call_json(ledger, "GET", "/control/counts")["postings"]
    ran_once = counts == {POSTING["reference"]: 1}
    report.checks.append(("the ledger ran the posting once", ran_once))


def _kill_daemon_in_burst(deployment, seeds, report):
    """Sends several requests at once and kills a daemon that streams an answer."""
    senders = [
        CompletionSender(
            seeds,
            f"interactive {number}",
            f"lot {number}?",
            SHORT_ANSWER_TOKENS,
            f"ws-{number}",
            "counter",
        )
        for number in range(1, BURST_SIZE)
    ]
    interrupted_sender = CompletionSender(
        seeds, "interactive, cut", "lot 0?", LONG_ANSWER_TOKENS, caller="counter"
    )
    address = interrupted_sender.client.addresses("summary")[0]
    killed_daemon = next(
        daemon for daemon in deployment.daemons.values() if daemon.address == address
    )
    jobs = [gevent.spawn(sender.run) for sender in (interrupted_sender, *senders)]
    try:
        reached = interrupted_sender.kill_point_reached.wait(timeout=10)
        streaming = bool(reached) and not jobs[0].ready()
        killed_daemon.kill()
        gevent.joinall(jobs, raise_error=True)
    finally:
        gevent.killall(jobs)
    report.lines.append(f"killed {killed_daemon.name} while it streamed an answer")
    report.rows.extend(job.value for job in jobs)
    check = "a daemon was killed during an answer, and the answer still came complete"
    report.checks.append((check, streaming and jobs[0].value.as_expected))
