"""Authentication of operators' calls: refused on any doubt."""

from dataclasses import replace
from datetime import timedelta

import msgspec
from hypothesis import given, settings, strategies as st

from amaranthbay.gateway import operator_calls
from amaranthbay.gateway.operator_calls import (
    OperatorBody,
    OperatorGate,
    SignedCall,
    sign_call,
)
from amaranthbay.peering.keys import KeyRing
from amaranthbay.settings.daemon import KeySettings
from amaranthbay.utils.testing import ManualClock, collect

BODY = msgspec.json.encode(OperatorBody("ana", "entry-1"))


def key_ring(secret="k" * 32):
    """Returns a key ring of one key."""
    return KeyRing([KeySettings("a", environment="KEY")], {"KEY": secret})


def gate_and_call(body=BODY, keys=None):
    """Returns a gate, its clock and a call that it should take."""
    clock = ManualClock()
    gate = OperatorGate(key_ring(), "entry-1", clock)
    call = sign_call(keys or key_ring(), "POST", "/v1/drain", body, clock.now())
    return gate, clock, call


def test_signed_call_names_its_operator(case):
    """Guards against a gate that refuses everything."""
    gate, _, call = gate_and_call()
    case.assertEqual(gate.check(call).unwrap().operator, "ana")


@settings(derandomize=True, deadline=None)
@given(
    st.sampled_from([field for field in SignedCall.__dataclass_fields__]),
    st.text(max_size=40),
)
def check_changed_call(name, text):
    """A call whose field was changed on the way is refused."""
    gate, _, call = gate_and_call()
    value = text.encode() if name == "body" else text
    if value == getattr(call, name):
        return
    # Hexadecimal digits may differ in case and mean the same bytes.
    if isinstance(value, str) and value.lower() == getattr(call, name):
        return
    assert gate.check(replace(call, **{name: value})).is_err(), (name, text)


def test_changed_call_is_refused(case):
    """Guards against a part of the call that the MAC doesn't cover."""
    check_changed_call()


def test_each_part_is_covered_by_the_mac(case):
    """Guards against a part that can be exchanged for another valid one."""
    gate, clock, call = gate_and_call()
    later = (clock.now() + timedelta(seconds=1)).isoformat()
    others = {
        "method": "PUT",
        "path": "/v1/other",
        "body": msgspec.json.encode(OperatorBody("bob", "entry-1")),
        "time": later,
        "nonce": "0" * 32,
    }
    for name, value in others.items():
        with case.subTest(name):
            changed = replace(call, **{name: value})
            case.assertTrue(gate.check(changed).is_err())


def test_call_with_another_key_is_refused(case):
    """Guards against an order from somebody without the key."""
    gate, _, call = gate_and_call(keys=key_ring("x" * 32))
    case.assertEqual(gate.check(call).unwrap_err().reason, "unauthenticated")


def test_call_is_taken_once(case):
    """Guards against a recorded call that is sent again."""
    gate, clock, call = gate_and_call()
    case.assertTrue(gate.check(call).is_ok())
    case.assertTrue(gate.check(call).is_err())
    for _ in range(3):
        clock.advance(operator_calls.TIME_TOLERANCE_S)
        case.assertTrue(gate.check(call).is_err())


def test_old_and_early_calls_are_refused(case):
    """Guards against a recorded call after its nonce was forgotten."""
    clock = ManualClock()
    gate = OperatorGate(key_ring(), "entry-1", clock)
    for seconds in (-61, 61):
        at = clock.now() + timedelta(seconds=seconds)
        call = sign_call(key_ring(), "POST", "/v1/drain", BODY, at)
        case.assertTrue(gate.check(call).is_err())


def test_call_for_another_daemon_is_refused(case):
    """Guards against an order that is replayed to a second daemon."""
    for body in (OperatorBody("ana", "entry-2"), OperatorBody(" ", "entry-1")):
        gate, _, call = gate_and_call(msgspec.json.encode(body))
        case.assertTrue(gate.check(call).is_err())


def test_daemon_without_keys_takes_no_order(case):
    """Guards against an empty key ring that lets everybody in."""
    gate = OperatorGate(KeyRing(()), "entry-1", ManualClock())
    _, _, call = gate_and_call()
    case.assertTrue(gate.check(call).is_err())


def test_nonces_are_bounded(case):
    """Guards against memory that grows with each call."""
    gate, clock, _ = gate_and_call()
    count = operator_calls.MAX_NONCES + 1
    outcomes = []
    for _ in range(count):
        call = sign_call(key_ring(), "POST", "/v1/drain", BODY, clock.now())
        outcomes.append(gate.check(call).is_ok())
    case.assertEqual(outcomes.count(True), operator_calls.MAX_NONCES)
    case.assertFalse(outcomes[-1])


load_tests = collect(globals())
