"""Tests of the authentication of operators' calls."""

from dataclasses import replace
from datetime import timedelta

import msgspec
from hypothesis import given, settings, strategies as st

from amaranthbay.gateway import operator_calls
from amaranthbay.gateway.operator_calls import (
    OperatorAuthenticator,
    OperatorBody,
    SignedCall,
    sign_call,
)
from amaranthbay.peering.keys import KeyRing
from amaranthbay.settings.daemon import KeySettings
from amaranthbay.utils.testing import ManualClock, collect

BODY = msgspec.json.encode(OperatorBody("ana", "entry-1"))


def key_ring(secret="k" * 32):
    """Returns a key ring with one key."""
    return KeyRing([KeySettings("a", environment="KEY")], {"KEY": secret})


def authenticator_and_call(body=BODY, keys=None):
    """Returns an authenticator, its clock and a call that is valid by default."""
    clock = ManualClock()
    authenticator = OperatorAuthenticator(key_ring(), "entry-1", clock)
    call = sign_call(keys or key_ring(), "POST", "/v1/drain", body, clock.now())
    return authenticator, clock, call


def test_signed_call_names_its_operator(case):
    """Guards against an authenticator that refuses every call."""
    authenticator, _, call = authenticator_and_call()
    case.assertEqual(authenticator.check(call).unwrap().operator, "ana")


@settings(derandomize=True, deadline=None)
@given(
    st.sampled_from([field for field in SignedCall.__dataclass_fields__]),
    st.text(max_size=40),
)
def check_changed_call(name, text):
    """Checks that a call is refused if a field is changed after signing."""
    authenticator, _, call = authenticator_and_call()
    value = text.encode() if name == "body" else text
    if value == getattr(call, name):
        return
    # Hexadecimal digits may differ in case and mean the same bytes.
    if isinstance(value, str) and value.lower() == getattr(call, name):
        return
    assert authenticator.check(replace(call, **{name: value})).is_err(), (name, text)


def test_changed_call_is_refused(case):
    """Guards against a field of the call that the MAC doesn't cover."""
    check_changed_call()


def test_each_field_is_covered_by_the_mac(case):
    """Guards against a field that can be replaced by another valid value."""
    authenticator, clock, call = authenticator_and_call()
    later = (clock.now() + timedelta(seconds=1)).isoformat()
    replacements = {
        "method": "PUT",
        "path": "/v1/other",
        "body": msgspec.json.encode(OperatorBody("bob", "entry-1")),
        "time": later,
        "nonce": "0" * 32,
    }
    for name, value in replacements.items():
        with case.subTest(name):
            changed = replace(call, **{name: value})
            case.assertTrue(authenticator.check(changed).is_err())


def test_call_with_another_key_is_refused(case):
    """Guards against an order signed by somebody without the key."""
    authenticator, _, call = authenticator_and_call(keys=key_ring("x" * 32))
    case.assertEqual(authenticator.check(call).unwrap_err().reason, "unauthenticated")


def test_call_is_accepted_once(case):
    """Guards against a recorded call that is replayed."""
    authenticator, clock, call = authenticator_and_call()
    case.assertTrue(authenticator.check(call).is_ok())
    case.assertTrue(authenticator.check(call).is_err())
    for _ in range(3):
        clock.advance(operator_calls.TIME_TOLERANCE_S)
        case.assertTrue(authenticator.check(call).is_err())


def test_calls_from_the_past_or_future_are_refused(case):
    """Guards against a call that is replayed after its nonce was forgotten."""
    clock = ManualClock()
    authenticator = OperatorAuthenticator(key_ring(), "entry-1", clock)
    for seconds in (-61, 61):
        sent_at = clock.now() + timedelta(seconds=seconds)
        call = sign_call(key_ring(), "POST", "/v1/drain", BODY, sent_at)
        case.assertTrue(authenticator.check(call).is_err())


def test_call_for_another_daemon_is_refused(case):
    """Guards against an order that is replayed to another daemon.

    A call without the name of an operator is refused as well.
    """
    for body in (OperatorBody("ana", "entry-2"), OperatorBody(" ", "entry-1")):
        authenticator, _, call = authenticator_and_call(msgspec.json.encode(body))
        case.assertTrue(authenticator.check(call).is_err())


def test_daemon_without_keys_refuses_orders(case):
    """Guards against an empty key ring that accepts every call."""
    authenticator = OperatorAuthenticator(KeyRing(()), "entry-1", ManualClock())
    _, _, call = authenticator_and_call()
    case.assertTrue(authenticator.check(call).is_err())


def test_nonces_are_bounded(case):
    """Guards against a set of nonces that grows without limit."""
    authenticator, clock, _ = authenticator_and_call()
    count = operator_calls.MAX_NONCES + 1
    outcomes = []
    for _ in range(count):
        call = sign_call(key_ring(), "POST", "/v1/drain", BODY, clock.now())
        outcomes.append(authenticator.check(call).is_ok())
    case.assertEqual(outcomes.count(True), operator_calls.MAX_NONCES)
    case.assertFalse(outcomes[-1])


load_tests = collect(globals())
