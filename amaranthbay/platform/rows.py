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
from amaranthbay.platform.types import CommitState, PlatformFailure
from amaranthbay.utils.http import json_exchange

__all__ = ["RowStore"]

# Sixty times the store's usual answer of 4 ms, and some more; a store that is slower
# than this is treated as lost.
CALL_TIMEOUT_S = 0.9
PAGE_ROWS = 500


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
        body = msgspec.json.encode({"Expected": [], "Put": [row], "Remove": []})
        outcome = json_exchange(
            self._address,
            "POST",
            "/rows-tx",
            body,
            (("Content-Type", "application/json"),),
            CALL_TIMEOUT_S,
        )
        if outcome.is_err():
            return CommitState.UNKNOWN
        status = outcome.unwrap()[0]
        if status == 200:
            return CommitState.DONE
        return CommitState.NOT_DONE if status in (429, 503) else CommitState.UNKNOWN

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


def _row(found):
    if found.Removed or found.Value is None:
        return ChangedRow(found.Key, found.Ver, None)
    try:
        value = base64.b64decode(found.Value, validate=True)
    except ValueError:
        # Another writer's row; its reader reports that it can't be decoded.
        value = b""
    return ChangedRow(found.Key, found.Ver, value)
