"""Checks of a soak run on the quotas of workspaces."""

from amaranthbay.platform.tests.soak.history import check
from amaranthbay.platform.tests.soak.keys import LIMITED_KEY, QUOTA

__all__ = ["MAX_IN_WINDOW", "WINDOW_S", "quotas_hold"]

# Window and tolerated excess of the platform (QuotaWindowS, QuotaOvershoot).
WINDOW_S = 8.0
MAX_IN_WINDOW = (QUOTA["RatePerS"] * WINDOW_S + QUOTA["Burst"]) * 1.1


@check
def quotas_hold(history):
    """In no window more requests are both sent and begin to run than a quota allows,
    whatever fault there is."""
    spans = []
    for exchange in history.exchanges:
        runs = history.runs(exchange.attempt) if exchange.key == LIMITED_KEY else ()
        if runs:
            spans.append((exchange.sent_at, runs[0].arrived_at))
    for start, _ in spans:
        count = sum(start <= sent and begun < start + WINDOW_S for sent, begun in spans)
        if count > MAX_IN_WINDOW:
            yield f"{count} requests ran in {WINDOW_S} s with a quota for {QUOTA}"
            return
