"""Client of the platform's store of rows."""

import base64
from urllib.parse import urlencode

import msgspec
from result import Err, Ok

from amaranthbay.fleet.tables import (
    ChangedRow,
    Changes,
    HistoryGone,
    Snapshot,
    TableSource,
)
from amaranthbay.kernel.errors import Verdict
from amaranthbay.kernel.interfaces import TableService
from amaranthbay.platform.types import (
    CommitOutcome,
    CommitState,
    PlatformFailure,
    Row,
)
from amaranthbay.utils.http import json_exchange

__all__ = ["RowStore", "RowTable"]

# Sixty times the store's usual answer of 4 ms, and some more; a store that is slower
# than this is treated as lost.
CALL_TIMEOUT_S = 0.9
PAGE_ROWS = 500
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

    def __init__(self, address):
        self._address = address

    def snapshot(self, table):
        rows, start, version = [], "", None
        while True:
            query = {"Table": table, "part": "", "Limit": PAGE_ROWS}
            if start:
                query["From"] = start
            reply = self._get("/rows-get", query, CALL_TIMEOUT_S)
            if reply.is_err():
                return reply
            page = reply.unwrap()
            # Changes after the first page are read again from the feed.
            version = page.Ver if version is None else version
            rows += [_row(each) for each in page.Rows]
            if not page.HasMore or not page.Rows:
                return Ok(Snapshot(tuple(rows), version))
            start = page.Rows[-1].Key + "\0"

    def changes(self, table, after, wait_s):
        query = {"Table": table, "after": after, "WaitMs": int(wait_s * 1000)}
        reply = self._get("/rows-feed", query, wait_s + CALL_TIMEOUT_S)
        if reply.is_err():
            return reply
        found = reply.unwrap()
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
        outcome = json_exchange(
            self._address, "POST", "/rows-tx", body, headers, CALL_TIMEOUT_S
        )
        if outcome.is_err():
            sent = outcome.unwrap_err().verdict is not Verdict.NOT_RUN
            return (CommitState.UNKNOWN if sent else CommitState.NOT_DONE), 0
        status, answer = outcome.unwrap()
        if status == 200:
            return CommitState.DONE, msgspec.json.decode(answer, type=_Rows).Ver
        return TRANSACTION_STATES.get(status, CommitState.UNKNOWN), 0

    def _get(self, path, query, timeout_s):
        target = f"{path}?{urlencode(query)}"
        outcome = json_exchange(self._address, "GET", target, timeout_s=timeout_s)
        if outcome.is_err():
            return Err(PlatformFailure(outcome.unwrap_err().detail))
        status, body = outcome.unwrap()
        if status == 410:
            return Err(HistoryGone())
        if status != 200:
            return Err(PlatformFailure(f"the store answered {status}"))
        try:
            return Ok(msgspec.json.decode(body, type=_Rows))
        except msgspec.DecodeError as exc:
            return Err(PlatformFailure(f"unreadable answer: {exc}"))


class RowTable(TableService):
    """One table of the store, with JSON values, as a `TableService`."""

    def __init__(self, store, table):
        self._store = store
        self._table = table

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
