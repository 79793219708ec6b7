"""Client of the platform's table store, for the entry process."""

from amaranthbay.platform.rows import RowStore, RowTable
from amaranthbay.platform.tests.standins import StoreStandin, serve_http
from amaranthbay.utils.testing import collect


def test_scan_reads_only_the_rows_that_it_returns(case):
    """Guards against a scan that holds a whole table in memory."""
    store = StoreStandin()
    table = RowTable(RowStore(case.enterContext(serve_http(store.answer))), "streams")
    keys = [f"b{number:04}" for number in range(1200)]
    for key in ("a", *keys, "c"):
        store.put("streams", key, b"1")
    rows = table.scan("", "b0099", 100).unwrap()
    case.assertEqual([row.key for row in rows], keys[100:200])
    case.assertEqual(len(store.calls), 1)
    case.assertEqual(
        [row.key for row in table.scan("b", "", 1100).unwrap()], keys[:1100]
    )
    case.assertEqual(
        [row.key for row in table.scan("b", "b0001").unwrap()], keys[2:1002]
    )
    case.assertEqual(
        [row.key for row in table.scan("b", "b1100").unwrap()], keys[1101:]
    )
    case.assertEqual([row.key for row in table.scan("c").unwrap()], ["c"])


load_tests = collect(globals())
