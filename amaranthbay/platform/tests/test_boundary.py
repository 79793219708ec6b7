"""Checks that only the adapter uses the wire names of the platform."""

import re
from pathlib import Path

from amaranthbay.utils.testing import collect

PACKAGE = Path(__file__).resolve().parents[2]
# Headers, paths and field names of the platform that no other code has a reason to use.
WIRE_NAMES = re.compile(
    r"x-(attempt-id|deadline-ms|prompt-prefix|response-stamp|expect-instance"
    r"|not-executed|instance-id|model-name|token-count|request-urgency"
    r"|serving-stage|kv-source|weight-versions|expect-version|pin-ms|kv-hold"
    r"|length-hint|kv-backup|credential|tenant-id)|kv-fetch|/kv-handle|/hold-take"
    r"|/hold-drop|/rows-"
    r"|/blob-|/resolve|amaranthbay_boot"
    r"|\b(kvhandle|pathprefix|targetlatencyms|maxattempts|kvcapacity|nodename"
    r"|ttls|internalports|budgetslack|apikeys|plaintokens|ratepers)\b",
    re.IGNORECASE,
)


def sources():
    """Returns the modules outside the adapter and the tests."""
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if "tests" not in path.parts and path.parent != PACKAGE / "platform"
    ]


def test_wire_names_stay_in_the_adapter(case):
    """Guards against modules that depend on the names of one platform."""
    names_by_module = {
        str(path.relative_to(PACKAGE)): match.group(0)
        for path in sources()
        if (match := WIRE_NAMES.search(path.read_text()))
    }
    case.assertEqual(names_by_module, {})
    adapter = [path.read_text() for path in (PACKAGE / "platform").glob("*.py")]
    case.assertTrue(any(WIRE_NAMES.search(text) for text in adapter))


load_tests = collect(globals())
