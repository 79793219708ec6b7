"""Checks of a soak run on the keys of workspaces."""

from amaranthbay.platform.tests.soak.history import CONTACT_S, check

__all__ = [
    "REMOVED_S",
    "lasting_keys_are_known",
    "removed_keys_end",
    "requests_run_for_their_workspace",
]

# Time within which a configuration is in force everywhere (ConfigApplyMs).
REMOVED_S = 3.0


def _keys(version):
    return version.keys or {}


@check
def requests_run_for_their_workspace(history):
    """A server gets no key, but the name of the key's workspace; a request whose key no
    configuration ever had is sent to no server."""
    owners = {}
    for version in history.deployment.versions:
        owners |= _keys(version)
    for attempt, arrivals in history.arrivals.items():
        exchange = history.by_attempt.get(attempt)
        if exchange is None or exchange.key is None:
            continue
        for arrival in arrivals:
            if arrival.credential is not None:
                yield f"{arrival.server} got the key of {attempt}"
            if exchange.key not in owners:
                yield f"{attempt} with the unknown key {exchange.key!r} was sent"
            elif arrival.workspace != owners[exchange.key]:
                yield f"{attempt} of {exchange.key!r} ran for {arrival.workspace!r}"


@check
def removed_keys_end(history):
    """A request that is sent `REMOVED_S` after its key was removed doesn't run, unless
    its process or the store had a fault since then from which it has not recovered."""
    deployment = history.deployment
    removed_at = {}
    for before, version in zip(deployment.versions, deployment.versions[1:]):
        for key in _keys(before).keys() - _keys(version).keys():
            removed_at[key] = version.written_at
    for exchange in history.exchanges:
        since = removed_at.get(exchange.key, exchange.sent_at)
        if exchange.sent_at < since + REMOVED_S or not history.runs(exchange.attempt):
            continue
        recent = max(since, exchange.sent_at - REMOVED_S) - CONTACT_S
        if not any(
            deployment.had_fault(target, recent, exchange.ended_at)
            for target in (exchange.process, "store")
        ):
            late_s = exchange.sent_at - since
            yield f"{exchange.attempt} ran {late_s:.1f} s after its key was removed"


@check
def lasting_keys_are_known(history):
    """A key that all configurations have never gets a 401."""
    versions = [_keys(version).keys() for version in history.deployment.versions]
    lasting = set.intersection(*map(set, versions))
    for exchange in history.exchanges:
        if exchange.status == 401 and exchange.key in lasting:
            yield f"{exchange.attempt} at {exchange.process} got 401 for a valid key"
