"""Client of the platform's store of rows."""

import base64
from urllib.parse import urlencode

import msgspec
from result import Err, Ok

from amaranthbay.fleet.eras import StoreEra
from amaranthbay.fleet.tables import (
    ChangedRow,
    Changes,
    HistoryGone,
    Snapshot,
    TableSource,
)
from amaranthbay.kernel.clock import SystemClock
from amaranthbay.kernel.errors import Verdict
from amaranthbay.kernel.interfaces import TableService
from amaranthbay.observe import log_event
from amaranthbay.platform.types import (
    CommitOutcome,
    CommitState,
    PlatformFailure,
    Row,
)
from amaranthbay.utils.http import json_exchange_with_header

__all__ = ["RowStore", "RowTable"]

# Sixty times the store's usual answer of 4 ms, and some more; a store that is slower
# than this is treated as lost.
CALL_TIMEOUT_S = 0.9
PAGE_ROWS = 500
# Number of times that the store was restored from an older copy.
ERA_HEADER = "Store-Era"
# A refusal of a transaction; after any other status it may have taken effect.
TRANSACTION_STATES = {
    412: CommitState.CONFLICT,
    429: CommitState.NOT_DONE,
    503: CommitState.NOT_DONE,
}


class _Row(msgspec.Struct):
    Key: str
    Ver: int = 0
    # Base64 of the row's bytes; absent for a removed row.
    Value: str | None = None
    Removed: bool = False


class _Rows(msgspec.Struct):
    # The newest version of the whole store, not of a row.
    Ver: int
    Rows: list[_Row] = []
    HasMore: bool = False


class RowStore(TableSource):
    """Tables of the platform's store over HTTP.

    Each call has a connection of its own, since a connection on which an answer is
    lost delivers nothing further.
    """

    def __init__(self, address, era=None):
        """Creates the client.

        Args:
            address: Host and port of the store.
            era: `StoreEra` that is told of the era of each answer.
        """
        self._address = address
        self.era = era or StoreEra(SystemClock())

    def snapshot(self, table):
        rows, start, version, era = [], "", None, None
        while True:
            query = {"Table": table, "part": "", "Limit": PAGE_ROWS}
            if start:
                query["From"] = start
            reply = self._get("/rows-get", query, CALL_TIMEOUT_S)
            if reply.is_err():
                return reply
            page, page_era = reply.unwrap()
            if version is not None and page_era != era:
                return Err(PlatformFailure("the store was restored between two pages"))
            era = page_era
            # Changes after the first page are read again from the feed.
            version = page.Ver if version is None else version
            rows += [_row(each) for each in page.Rows]
            if not page.HasMore or not page.Rows:
                return Ok(Snapshot(tuple(rows), version, era))
            start = page.Rows[-1].Key + "\0"

    def changes(self, table, after, wait_s):
        query = {"Table": table, "after": after, "WaitMs": int(wait_s * 1000)}
        reply = self._get("/rows-feed", query, wait_s + CALL_TIMEOUT_S)
        if reply.is_err():
            return reply
        found, _ = reply.unwrap()
        return Ok(Changes(tuple(_row(each) for each in found.Rows), found.Ver))

    def put(self, table, key, value):
        row = {"Table": table, "part": "", "Key": key}
        row["Value"] = base64.b64encode(value).decode()
        return self.transact([], [row])[0]

    def transact(self, expected, put):
        """Writes rows under conditions.

        Args:
            expected: Rows with the version that each must have.
            put: Rows to write.

        Returns:
            `CommitState` and the new version of the rows; 0 if not done.
        """
        body = msgspec.json.encode({"Expected": expected, "Put": put, "Remove": []})
        headers = (("Content-Type", "application/json"),)
        outcome = self._call("POST", "/rows-tx", body, headers, CALL_TIMEOUT_S)
        if outcome.is_err():
            sent = outcome.unwrap_err().verdict is not Verdict.NOT_RUN
            return (CommitState.UNKNOWN if sent else CommitState.NOT_DONE), 0
        status, answer, era = outcome.unwrap()
        if not self.era.observe(era):
            # What was done then, a restore has undone since.
            return CommitState.UNKNOWN, 0
        if status == 200:
            return CommitState.DONE, msgspec.json.decode(answer, type=_Rows).Ver
        return TRANSACTION_STATES.get(status, CommitState.UNKNOWN), 0

    def _call(self, method, target, body=b"", headers=(), timeout_s=CALL_TIMEOUT_S):
        """Returns ``Result[tuple[int, bytes, int | None], HttpFailure]``.

        The values are status, body and the era.
        """
        outcome = json_exchange_with_header(
            self._address, method, target, ERA_HEADER, body, headers, timeout_s
        )
        return outcome.map(lambda found: (*found[:2], _era(found[2])))

    def _get(self, path, query, timeout_s):
        """Returns ``Result[tuple[_Rows, int | None], PlatformFailure | HistoryGone]``.

        The values are the rows and the era.
        """
        target = f"{path}?{urlencode(query)}"
        outcome = self._call("GET", target, timeout_s=timeout_s)
        if outcome.is_err():
            return Err(PlatformFailure(outcome.unwrap_err().detail))
        status, body, era = outcome.unwrap()
        if not self.era.observe(era):
            return Err(PlatformFailure("an answer from before the store's restore"))
        if status == 410:
            return Err(HistoryGone())
        if status != 200:
            return Err(PlatformFailure(f"the store answered {status}"))
        try:
            return Ok((msgspec.json.decode(body, type=_Rows), era))
        except msgspec.DecodeError as exc:
            return Err(PlatformFailure(f"unreadable answer: {exc}"))


class RowTable(TableService):
    """One table of the store, with JSON values, as a `TableService`."""

    def __init__(self, store, table):
        self._store = store
        self._table = table

    def era(self):
        return self._store.era.current()

    def commit(self, writes):
        expected, put = [], []
        for each in writes:
            row = {"Table": self._table, "part": "", "Key": each.key}
            if each.if_version is not None:
                expected.append(row | {"Ver": each.if_version})
            value = base64.b64encode(msgspec.json.encode(each.value)).decode()
            put.append(row | {"Value": value})
        state, version = self._store.transact(expected, put)
        if state is not CommitState.DONE:
            return CommitOutcome(state, {})
        return CommitOutcome(state, {each.key: version for each in writes})

    def read(self, key):
        found = self._store.snapshot(self._table)
        return found.map(lambda snapshot: _find(snapshot.rows, key))

    def scan(self, prefix, after="", limit=1000):
        found = self._store.snapshot(self._table)
        return found.map(
            lambda snapshot: tuple(
                _json_row(each)
                for each in snapshot.rows
                if each.key.startswith(prefix) and each.key > after
            )[:limit]
        )


def _era(value):
    """Returns the era that a header names; None if there is none."""
    if value is None:
        return None
    try:
        return int(value)
    except (TypeError, ValueError):
        # A header that stands twice is a list.
        log_event("store_era_unreadable", level="warning", value=str(value)[:40])
        return None


def _find(rows, key):
    """Returns the `Row` with a key, or None."""
    for each in rows:
        if each.key == key and each.value is not None:
            return _json_row(each)
    return None


def _json_row(row):
    return Row(row.key, msgspec.json.decode(row.value), row.version)


def _row(found):
    if found.Removed or found.Value is None:
        return ChangedRow(found.Key, found.Ver, None)
    try:
        value = base64.b64decode(found.Value, validate=True)
    except ValueError:
        # Another writer's row; its reader reports that it can't be decoded.
        value = b""
    return ChangedRow(found.Key, found.Ver, value)
