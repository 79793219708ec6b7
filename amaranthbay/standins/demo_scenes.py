"""The requests that the demonstration sends and what it expects of each."""

import time
import uuid

import gevent
import gevent.event
import msgspec
import uuid6

from amaranthbay.client import CallFailed, Client
from amaranthbay.config import decode_answers, generate
from amaranthbay.config.template import TEMPLATE
from amaranthbay.standins.demo_report import Report, RequestRow, instances_used
from amaranthbay.standins.processes import call_json, start_small
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.testing import wait_until

__all__ = ["run_scenes"]

WORKSPACE = "ws-1"
DOCUMENT_TOKENS = 120
BURST_SIZE = 8
SHORT_TOKENS = 12
# Enough tokens for its daemon to be killed while it streams.
LONG_ANSWER_TOKENS = 120
KILL_AFTER_TOKENS = 5
MAX_SENDS = 6
FREE_BOUND_S = 5.0
RESEND_PAUSE_S = 0.2
POSTING = {"account": "tenant-7", "amount": 250, "reference": "demo-posting"}


class Sender:
    """Sends one completion and sends it again when its daemon is lost."""

    def __init__(self, seeds, name, prompt, max_tokens, workspace=WORKSPACE, caller=""):
        self.client = Client(seeds, workspace, caller)
        self.request_id = uuid.uuid4().hex
        self.reached = gevent.event.Event()
        self._name = name
        self._prompt = prompt
        self._max_tokens = max_tokens
        self._first_at = None

    def run(self):
        """Returns the `RequestRow` of the completion."""
        failures = []
        for _ in range(MAX_SENDS):
            started = time.monotonic()
            self._first_at = None
            try:
                texts = self._receive()
            except CallFailed as exc:
                failures.append(exc.verdict)
                gevent.sleep(RESEND_PAUSE_S)
                continue
            expected = answer_text(self._prompt, self._max_tokens)
            right = "".join(texts) == expected
            note = f"sent again after {', '.join(failures)}" if failures else ""
            first_token_s = self._first_at - started
            return self._row(first_token_s, len(texts), "ran", right, note)
        return self._row(None, 0, failures[-1], False, f"sent {MAX_SENDS} times")

    def _receive(self):
        texts = []
        stream = self.client.complete(
            "summary", self._prompt, self._max_tokens, self.request_id
        )
        for text in stream:
            if not text:
                continue
            if self._first_at is None:
                self._first_at = time.monotonic()
            texts.append(text)
            if len(texts) == KILL_AFTER_TOKENS:
                self.reached.set()
        return texts

    def _row(self, first_token_s, tokens, verdict, right, note):
        name, request_id = self._name, self.request_id
        return RequestRow(name, request_id, first_token_s, tokens, verdict, right, note)


def run_scenes(deployment, document):
    """Runs every scene on a new deployment and returns the `Report`."""
    report = Report()
    cfg = _generated_configuration(deployment, report)
    start_small(deployment, cfg=cfg)
    seeds = [each.address for each in deployment.daemons.values()]
    _show_lookup(deployment, seeds, report)
    name = f"long prompt, {len(document.encode()) // 1000} KB"
    long_prompt = Sender(seeds, name, document, DOCUMENT_TOKENS, caller="desk")
    report.rows.append(long_prompt.run())
    _post_twice(deployment, seeds, report)
    _burst_with_kill(deployment, seeds, report)
    report.checks.append(
        ("no engine holds memory of these requests", _engines_are_free(deployment))
    )
    lines = [line for each in deployment.daemons.values() for line in each.log_lines()]
    report.used = instances_used(lines)
    return report


def _engines_are_free(deployment):
    """Returns whether every cancel arrives within a bound."""
    try:
        return wait_until(lambda: not deployment.held(), FREE_BOUND_S)
    except TimeoutError:
        return False


def _generated_configuration(deployment, report):
    """Generates the configuration from the template of the questionnaire."""
    path = deployment.folder / "answers.toml"
    path.write_text(TEMPLATE)
    checked = decode_answers(path)
    report.checks.append(("the answers have no fault", not checked.faults))
    generated = generate(checked.value)
    count = len(generated.reasons)
    report.lines.append(f"configuration: generated, with {count} reasons")
    return generated.configuration


def _show_lookup(deployment, seeds, report):
    addresses = Client(seeds, WORKSPACE).addresses("summary")
    names = {each.address: name for name, each in deployment.daemons.items()}
    ordered = ", ".join(names.get(address, address) for address in addresses)
    report.lines.append(f"{seeds[0]} says for {WORKSPACE}: {ordered}")
    report.checks.append(
        ("the lookup names every daemon", set(addresses) == set(names))
    )


def _post_twice(deployment, seeds, report):
    """Sends one ledger posting to two daemons under the same key."""
    key = str(uuid6.uuid7())
    body = msgspec.json.encode(POSTING)
    replies = []
    for number, seed in enumerate(seeds[:2], 1):
        client = Client([seed], WORKSPACE)
        client.addresses = lambda service, only=seed: (only,)
        request_id = uuid.uuid4().hex
        started = time.monotonic()
        try:
            reply = client.call(
                "ledger", "POST", "/postings", body, key, request_id=request_id
            )
            replies.append(reply.body)
            verdict = "ran"
        except CallFailed as exc:
            verdict = exc.verdict
        took_s = time.monotonic() - started
        name = f"posting, send {number}"
        note = "" if number == 1 else "same key, recorded answer"
        right = verdict == "ran" and len(set(replies)) == 1
        report.rows.append(
            RequestRow(name, request_id, took_s, None, verdict, right, note)
        )
    ledger = deployment.backends["ledger-1"].address
    counts = call_json(ledger, "GET", "/control/counts")["postings"]
    once = counts == {POSTING["reference"]: 1}
    report.checks.append(("the ledger ran the posting once", once))


def _burst_with_kill(deployment, seeds, report):
    """Sends short requests at once and kills a daemon while they stream."""
    senders = [
        Sender(
            seeds,
            f"interactive {number}",
            f"lot {number}?",
            SHORT_TOKENS,
            f"ws-{number}",
            "counter",
        )
        for number in range(1, BURST_SIZE)
    ]
    cut = Sender(
        seeds, "interactive, cut", "lot 0?", LONG_ANSWER_TOKENS, caller="counter"
    )
    address = cut.client.addresses("summary")[0]
    victim = next(
        each for each in deployment.daemons.values() if each.address == address
    )
    jobs = [gevent.spawn(sender.run) for sender in (cut, *senders)]
    try:
        reached = cut.reached.wait(timeout=10)
        streaming = bool(reached) and not jobs[0].ready()
        victim.kill()
        gevent.joinall(jobs, raise_error=True)
    finally:
        gevent.killall(jobs)
    report.lines.append(f"killed {victim.name} while it streamed an answer")
    report.rows.extend(job.value for job in jobs)
    sentence = "the daemon died in the middle of an answer, which came whole"
    report.checks.append((sentence, streaming and jobs[0].value.right))
