"""HTTP client of the platform's table store, for the entry process."""

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
from amaranthbay.utils.decoding import Int64, decode_json
from amaranthbay.utils.http import exchange_whole_with_header

__all__ = ["RowStore", "RowTable"]

# The store usually answers in 4 ms. This allows for answers that take sixty times as
# long, with a margin; a store that is even slower counts as lost.
CALL_TIMEOUT_S = 0.9
PAGE_ROWS = 500
MS_PER_S = 1000.0
# Response header with the era of the store: the number of times that it was restored
# from an older copy.
ERA_HEADER = "Store-Era"
# State of a rejected transaction by HTTP status. After any other status except 200, the
# transaction may have taken effect.
REJECTION_STATES = {
    412: CommitState.CONFLICT,
    429: CommitState.NOT_DONE,
    503: CommitState.NOT_DONE,
}


class _Row(msgspec.Struct):
    Key: str
    Ver: Int64 = 0
    # Content of the row in base64; absent for a removed row.
    Value: str | None = None
    Removed: bool = False


class _Rows(msgspec.Struct):
    # Newest version of the whole store, not of one row.
    Ver: Int64
    Rows: list[_Row] = []
    HasMore: bool = False
    # Steady clock of the store.
    NowMs: float | None = None


class RowStore(TableSource):
    """Reads and writes the tables of the platform's store over HTTP.

    Each call opens its own connection, since a connection on which an answer was lost
    delivers no further answers.
    """

    def __init__(
        self, address, store_era=None, on_time=lambda seconds: None, memory=None
    ):
        """Creates the client.

        Args:
            address: Host and port of the store.
            store_era: `StoreEra` that observes the era of each answer; a new one if
                None.
            on_time: Function that is called with the store's steady clock in seconds
                as each answer names it.
            memory: `ReadMemory` of the answers; one of the default size if None.
        """
        self._address = address
        self._memory = memory
        self._on_time = on_time
        self.store_era = store_era or StoreEra(SystemClock())

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
            # The version of the first page counts: `changes` then returns the rows that
            # changed while the further pages were read.
            version = page.Ver if version is None else version
            rows += [_decode_row(row) for row in page.Rows]
            if not page.HasMore or not page.Rows:
                return Ok(Snapshot(tuple(rows), version, era))
            start = page.Rows[-1].Key + "\0"

    def page(self, table, start, limit):
        """Reads rows in key order.

        Args:
            table: Name of the table.
            start: First key that may be returned.
            limit: Largest number of rows, at most `PAGE_ROWS`.

        Returns:
            ``Result[tuple[tuple[ChangedRow, ...], bool], PlatformFailure]`` with the
            rows, and whether there are more after them.
        """
        query = {"Table": table, "part": "", "Limit": limit}
        if start:
            query["From"] = start
        reply = self._get("/rows-get", query, CALL_TIMEOUT_S)
        if reply.is_err():
            return reply
        answer, _ = reply.unwrap()
        rows = tuple(_decode_row(row) for row in answer.Rows)
        return Ok((rows, answer.HasMore and bool(rows)))

    def changes(self, table, after, wait_s):
        query = {"Table": table, "after": after, "WaitMs": int(wait_s * 1000)}
        reply = self._get("/rows-feed", query, wait_s + CALL_TIMEOUT_S)
        if reply.is_err():
            return reply
        page, _ = reply.unwrap()
        return Ok(Changes(tuple(_decode_row(row) for row in page.Rows), page.Ver))

    def put(self, table, key, value):
        row = {"Table": table, "part": "", "Key": key}
        row["Value"] = base64.b64encode(value).decode()
        return self.transact([], [row])[0]

    def row(self, table, key):
        """Reads one row; returns ``Result[ChangedRow | None, PlatformFailure]``."""
        query = {"Table": table, "part": "", "From": key, "To": key + "\0", "Limit": 1}
        reply = self._get("/rows-get", query, CALL_TIMEOUT_S)
        return reply.map(lambda answer: _find_row(answer[0].Rows, key))

    def transact(self, expected, put, remove=()):
        """Writes rows in one transaction.

        Args:
            expected: List of dicts with ``Table``, ``part``, ``Key`` and the version
                ``Ver`` that each row must have; 0 for an absent row.
            put: List of dicts with ``Table``, ``part``, ``Key`` and ``Value``, the
                rows to write.
            remove: List of dicts with ``Table``, ``part`` and ``Key``, the rows to
                delete.

        Returns:
            The `CommitState` and the new version of the rows, which is 0 unless done.
        """
        body = {"Expected": expected, "Put": put, "Remove": list(remove)}
        body = msgspec.json.encode(body)
        headers = (("Content-Type", "application/json"),)
        outcome = self._call("POST", "/rows-tx", body, headers, CALL_TIMEOUT_S)
        if outcome.is_err():
            may_have_run = outcome.unwrap_err().verdict is not Verdict.NOT_RUN
            return (CommitState.UNKNOWN if may_have_run else CommitState.NOT_DONE), 0
        status, answer, era = outcome.unwrap()
        if not self.store_era.observe(era):
            # The answer is from before a restore, which has undone the transaction.
            return CommitState.UNKNOWN, 0
        if status == 200:
            # Without a version, the transaction counts as one whose answer is lost.
            rows = self._decode_rows(answer)
            if rows.is_err():
                return CommitState.UNKNOWN, 0
            return CommitState.DONE, rows.unwrap().Ver
        return REJECTION_STATES.get(status, CommitState.UNKNOWN), 0

    def _decode_rows(self, body):
        """Decodes an answer and passes on the time that it names.

        Returns:
            ``Result[_Rows, PlatformFailure]``.
        """
        rows = decode_json(body, _Rows)
        if rows.is_err():
            detail = f"the store's answer is unreadable: {rows.unwrap_err()}"
            return Err(PlatformFailure(detail))
        if rows.unwrap().NowMs is not None:
            self._on_time(rows.unwrap().NowMs / MS_PER_S)
        return rows

    def _call(self, method, target, body=b"", headers=(), timeout_s=CALL_TIMEOUT_S):
        """Returns ``Result[tuple[int, bytes, int | None], HttpFailure]``.

        The values are the status, the body and the era; the era is None if the answer
        does not name it.
        """
        outcome = exchange_whole_with_header(
            self._address,
            method,
            target,
            ERA_HEADER,
            body,
            headers,
            timeout_s,
            self._memory,
        )
        return outcome.map(lambda answer: (*answer[:2], _parse_era(answer[2])))

    def _get(self, path, query, timeout_s):
        """Returns ``Result[tuple[_Rows, int | None], PlatformFailure | HistoryGone]``.

        The values are a page of rows and the era of the answer. `HistoryGone` says
        that the store no longer has the requested changes.
        """
        target = f"{path}?{urlencode(query)}"
        outcome = self._call("GET", target, timeout_s=timeout_s)
        if outcome.is_err():
            return Err(PlatformFailure(outcome.unwrap_err().detail))
        status, body, era = outcome.unwrap()
        if not self.store_era.observe(era):
            return Err(
                PlatformFailure("the answer is from before a restore of the store")
            )
        if status == 410:
            return Err(HistoryGone())
        if status != 200:
            return Err(PlatformFailure(f"the store answered with status {status}"))
        return self._decode_rows(body).map(lambda rows: (rows, era))


class RowTable(TableService):
    """`TableService` for one table of a `RowStore`, with JSON values."""

    def __init__(self, store, table):
        self._store = store
        self._table = table

    def era(self):
        return self._store.store_era.current()

    def commit(self, writes):
        expected, put, remove = [], [], []
        for write in writes:
            row = {"Table": self._table, "part": "", "Key": write.key}
            if write.if_version is not None:
                expected.append(row | {"Ver": write.if_version})
            if write.value is None:
                remove.append(row)
                continue
            value = base64.b64encode(msgspec.json.encode(write.value)).decode()
            put.append(row | {"Value": value})
        state, version = self._store.transact(expected, put, remove)
        if state is not CommitState.DONE:
            return CommitOutcome(state, {})
        return CommitOutcome(state, {write.key: version for write in writes})

    def read(self, key):
        outcome = self._store.row(self._table, key)
        return outcome.and_then(
            lambda row: Ok(None) if row is None else _decode_value(row)
        )

    def scan(self, prefix, after="", limit=1000):
        rows, start = [], max(prefix, after and after + "\0")
        while True:
            count = min(PAGE_ROWS, limit - len(rows))
            reply = self._store.page(self._table, start, count)
            if reply.is_err():
                return reply
            page, has_more = reply.unwrap()
            in_range = [row for row in page if row.key.startswith(prefix)]
            decoded = (_decode_value(row) for row in in_range)
            rows += [row.unwrap() for row in decoded if row.is_ok()]
            if not has_more or len(in_range) < len(page) or len(rows) >= limit:
                return Ok(tuple(rows))
            start = page[-1].key + "\0"


def _parse_era(value):
    """Returns the era in a header; None if it is absent or unreadable."""
    if value is None:
        return None
    try:
        # Instances report the era to each other as an integer of 64 bits.
        return msgspec.convert(int(value), Int64)
    except (TypeError, ValueError):
        # A header that occurs twice arrives as a list. The error of msgspec is a
        # ValueError too.
        log_event("store_era_unreadable", level="warning", value=str(value)[:40])
        return None


def _find_row(rows, key):
    """Returns the `ChangedRow` with a key from rows in wire format, or None."""
    for row in rows:
        if row.Key == key and not row.Removed:
            return _decode_row(row)
    return None


def _decode_value(row):
    """Converts a `ChangedRow` to ``Result[Row, PlatformFailure]``."""
    value = decode_json(row.value, object)
    if value.is_err():
        detail = f"the value of the row {row.key!r} is unreadable"
        log_event("row_unreadable", level="warning", key=row.key, detail=detail)
        return Err(PlatformFailure(detail))
    return Ok(Row(row.key, value.unwrap(), row.version))


def _decode_row(row):
    """Converts a row in wire format to a `ChangedRow`."""
    if row.Removed or row.Value is None:
        return ChangedRow(row.Key, row.Ver, None)
    try:
        value = base64.b64decode(row.Value, validate=True)
    except ValueError:
        # Another program wrote this row. The empty value makes its decoder report it.
        value = b""
    return ChangedRow(row.Key, row.Ver, value)
