"""Stand-in for a plain service: a ledger that counts how often each posting ran."""

from collections import Counter
from dataclasses import dataclass
from socket import SHUT_RDWR

import falcon
import gevent
import msgspec

from amaranthbay.standins.serving import read_json, run_server, write_json
from amaranthbay.utils.serving import CONNECTION_KEY

__all__ = ["LedgerState", "create_app", "run"]


@dataclass(frozen=True)
class LedgerFaults:
    """Faults that are switched on; the defaults switch all of them off.

    Attributes:
        die_after_posting: Whether the connection is closed, without a response, after
            a posting took effect.
        refuse: Whether postings are refused with status 503 and ``not_run``.
        delay_s: Seconds by which the response to a posting or a balance is delayed.
    """

    die_after_posting: bool = False
    refuse: bool = False
    delay_s: float = 0.0


class _Posting(msgspec.Struct):
    """Body of ``POST /postings``."""

    account: str
    amount: int
    reference: str


class LedgerState:
    """Everything that the ledger holds in memory.

    Attributes:
        balances: Balance by account.
        postings: Number of postings by reference.
        faults: `LedgerFaults` that are switched on.
    """

    def __init__(self):
        self.balances = Counter()
        self.postings = Counter()
        self.faults = LedgerFaults()


class _LedgerResource:
    """Handlers of the ledger's HTTP requests."""

    def __init__(self, state):
        self._state = state

    def on_post_postings(self, req, resp):
        posting = read_json(req, _Posting)
        faults = self._state.faults
        if faults.refuse:
            write_json(resp, {"not_run": True}, falcon.HTTP_503)
            return
        self._state.balances[posting.account] += posting.amount
        self._state.postings[posting.reference] += 1
        gevent.sleep(faults.delay_s)
        if faults.die_after_posting:
            req.env[CONNECTION_KEY].shutdown(SHUT_RDWR)
            return
        balance = self._state.balances[posting.account]
        write_json(resp, {"account": posting.account, "balance": balance})

    def on_get_balance(self, req, resp, account):
        gevent.sleep(self._state.faults.delay_s)
        balance = self._state.balances[account]
        write_json(resp, {"account": account, "balance": balance})

    def on_get_counts(self, req, resp):
        write_json(resp, {"postings": dict(self._state.postings)})

    def on_post_faults(self, req, resp):
        self._state.faults = read_json(req, LedgerFaults)
        write_json(resp, {})


def create_app(state):
    """Returns the stand-in's WSGI application, which serves a `LedgerState`."""
    app = falcon.App()
    ledger = _LedgerResource(state)
    app.add_route("/postings", ledger, suffix="postings")
    app.add_route("/balances/{account}", ledger, suffix="balance")
    app.add_route("/control/counts", ledger, suffix="counts")
    app.add_route("/control/faults", ledger, suffix="faults")
    return app


def run(address):
    """Serves a new, empty ledger until the process is asked to stop."""
    run_server(address, create_app(LedgerState()))
