"""Which requests their keys admit, and under which workspace."""

from datetime import timedelta
from types import SimpleNamespace

from amaranthbay.kernel.errors import Reason, Verdict
from amaranthbay.relay.calls import Call
from amaranthbay.relay.codec import CallHead
from amaranthbay.relay.listener import IncomingRequest
from amaranthbay.utils.testing import collect
from amaranthbay.workspaces import KeyTable, Workspace
from amaranthbay.workspaces.access import AccessControl, identify

A, B = Workspace("a", priority=0), Workspace("b")
KEYS = KeyTable([(A, ["ka", "ka2"]), (B, ["kb"])])


def result_of(*credentials, keys=KEYS, public=False, outdated=False):
    """Returns the name of the workspace, or status and reason of the refusal."""
    found = identify(keys, credentials, public, lambda: outdated)
    if found.is_ok():
        return found.unwrap() and found.unwrap().name
    refusal = found.unwrap_err()
    return refusal.status, refusal.reason, refusal.verdict, refusal.retry_after


def test_one_known_key_is_needed(case):
    """Guards against a request that runs without a key, with a part of one or with
    two, and against a key that is unknown only to an outdated instance."""
    denied = (401, Reason.UNAUTHENTICATED, Verdict.NOT_RUN, None)
    for credentials, expected in (
        ((b"ka",), "a"),
        ((b"ka2",), "a"),
        ((b"kb", b"kb"), "b"),
        ((), denied),
        ((b"k",), denied),
        ((b"ka ",), denied),
        ((b"KA",), denied),
        ((b"",), denied),
        ((b"\xff",), denied),
        ((b"ka", b"kb"), denied),
        ((b"ka", b"ka2"), denied),
    ):
        with case.subTest(credentials):
            case.assertEqual(result_of(*credentials), expected)
            named = expected if expected != denied else None
            case.assertEqual(result_of(*credentials, public=True), named)
            case.assertIsNone(result_of(*credentials, keys=None))
    case.assertEqual(result_of(b"ka", keys=KeyTable()), denied)
    unknown = (503, Reason.NOT_READY, Verdict.NOT_RUN, timedelta(seconds=0.5))
    case.assertEqual(result_of(b"k", outdated=True), unknown)
    case.assertEqual(result_of(outdated=True), denied)
    case.assertEqual(result_of(b"ka", b"kb", outdated=True), denied)


def test_waiting_request_follows_the_configuration(case):
    """Guards against a removed key that still runs, and against a key that is forwarded
    since keys came into use or went out of use while the request waited."""
    view = SimpleNamespace(table=None)
    control = AccessControl(view, lambda: 0)

    def configure(version, keys):
        view.table = SimpleNamespace(version=version, workspaces=keys)

    def outcome(access):
        refusal = access.refusal()
        return refusal and refusal.status, access.forwarded_name()

    configure(1, KEYS)
    known = control.admit(False, (b"ka",)).unwrap()
    public = control.admit(True, ()).unwrap()
    case.assertEqual((known.workspace, public.workspace), (A, None))
    for keys, expected in (
        (KEYS, (None, "a")),
        (KeyTable([(Workspace("a"), ["ka"])]), (None, "a")),
        (KeyTable([(A, ["ka2"])]), (401, "a")),
        (KeyTable([(B, ["ka"])]), (503, "a")),
        (None, (None, "a")),
    ):
        configure(view.table.version + 1, keys)
        case.assertEqual(outcome(known), expected)
        case.assertEqual(outcome(public), (None, ""))
    without_keys = control.admit(False, (b"ka",)).unwrap()
    case.assertEqual(outcome(without_keys), (None, None))
    configure(9, KEYS)
    case.assertEqual(outcome(without_keys), (503, ""))


def test_waiting_request_follows_its_route(case):
    """Guards against a request without a key that runs although its route needs one by
    now, and against a 401 for one whose route has become public."""
    view = SimpleNamespace(table=SimpleNamespace(version=1, workspaces=KEYS))
    control = AccessControl(view, lambda: 0)
    now_public = control.admit(False, (b"ka",), lambda table: True).unwrap()
    now_private = control.admit(True, (), lambda table: False).unwrap()
    removed = control.admit(True, (), lambda table: None).unwrap()
    view.table = SimpleNamespace(version=2, workspaces=KeyTable([(B, ["kb"])]))
    case.assertEqual(now_public.refusal().status, 503)
    case.assertEqual(now_private.refusal().status, 401)
    case.assertIsNone(removed.refusal())


def test_text_forms_have_no_key(case):
    """Guards against a key in a log line or the text of an exception, and against a
    request that gets the priority of its route in place of its workspace's."""
    view = SimpleNamespace(table=SimpleNamespace(version=1, workspaces=KEYS))
    access = AccessControl(view, lambda: 0).admit(False, (b"ka",)).unwrap()
    headers = ((b"x", b"ka2"),)
    req = IncomingRequest(b"GET", b"/", headers, headers, b"", False)
    route = SimpleNamespace(priority=3)
    rest = (b"GET", b"/", headers, b"", False, CallHead("a1"), route, None, 0.0, 1.0)
    calls = [Call("a1", *rest, workspace, access) for workspace in (A, B)]
    case.assertEqual([call.priority for call in calls], [(0, 3), (3, 3)])
    case.assertNotIn("ka", repr((access, KEYS, req, calls)))


load_tests = collect(globals())
