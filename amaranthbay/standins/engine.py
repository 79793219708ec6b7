"""Engine stand-in: prefill and decode over HTTP, with faults from outside."""

import os

import falcon
import gevent
import msgspec

from amaranthbay.standins.engine_state import (
    EngineFaults,
    EngineState,
    Stream,
)
from amaranthbay.standins.serving import read_json, run_server, write_json
from amaranthbay.utils.http import json_exchange

__all__ = ["create_app", "run"]

IMPORT_TIMEOUT_S = 5.0
CRASH_EXIT_CODE = 70
SETUP_FIELDS = {
    "load_model": "model",
    "load_adapter": "adapter",
    "load_version": "version",
    "change_role": "role",
}


class _Prefill(msgspec.Struct):
    request_id: str
    attempt_id: str
    model: str
    prompt: str
    priority: int = 0


class _Decode(msgspec.Struct):
    request_id: str
    attempt_id: str
    model: str
    kv_handle: str
    kv_source: str
    max_tokens: int
    priority: int = 0
    offset: int = 0


class _Resume(msgspec.Struct):
    attempt_id: str
    offset: int


class _Cancel(msgspec.Struct):
    attempt_id: str


class _Order(msgspec.Struct):
    order_id: str
    fence: int
    action: str
    target: str = ""


class _Engine:
    def __init__(self, state):
        self._state = state

    def _refuse(self, resp, detail, status=falcon.HTTP_409):
        write_json(resp, {"not_run": True, "detail": detail}, status)

    def _check_crash(self, prompt):
        marker = self._state.options.crash_marker
        if marker and marker in prompt:
            os._exit(CRASH_EXIT_CODE)

    def on_post_prefill(self, req, resp):
        body = read_json(req, _Prefill)
        if self._state.faults.refuse:
            self._refuse(resp, "refused by fault", falcon.HTTP_503)
            return
        if body.attempt_id in self._state.cancelled:
            self._refuse(resp, "cancelled before it started")
            return
        if self._state.options.role == "prefill":
            self._check_crash(body.prompt)
        handle, tokens, cached = self._state.run_prefill(
            body.attempt_id, body.model, body.prompt, body.priority
        )
        if body.attempt_id in self._state.cancelled:
            self._state.expire(handle)
        reply = {"kv_handle": handle, "tokens": tokens, "cached_tokens": cached}
        write_json(resp, reply | {"expires_s": self._state.options.kv_life_s})

    def on_post_decode(self, req, resp):
        body = read_json(req, _Decode)
        state = self._state
        if state.faults.refuse or body.attempt_id in state.cancelled:
            self._refuse(resp, "cancelled or refused", falcon.HTTP_503)
            return
        if state.options.import_needs_slot:
            self._decode_in_slot(resp, body)
        else:
            self._import_and_decode(resp, body)

    def _decode_in_slot(self, resp, body):
        """Imports only once a slot is free; the KV cache may expire meanwhile."""
        gate = self._state.decode_gate
        gate.enter(body.priority)
        started = False
        try:
            started = self._import_and_decode(resp, body)
        finally:
            if not started:
                gate.leave()

    def _import_and_decode(self, resp, body):
        """Returns whether a stream was started."""
        state = self._state
        outcome = json_exchange(
            body.kv_source,
            "GET",
            f"/kv/{body.kv_handle}",
            timeout_s=IMPORT_TIMEOUT_S,
        )
        if outcome.is_err() or outcome.unwrap()[0] != 200:
            self._refuse(resp, "KV cache is gone")
            return False
        if body.attempt_id in state.cancelled:
            self._refuse(resp, "cancelled during import")
            return False
        prompt = outcome.unwrap()[1].decode()
        self._check_crash(prompt)
        stream = Stream(body.request_id, body.attempt_id, prompt, body.max_tokens)
        state.streams[body.attempt_id] = stream
        gevent.spawn(state.run_stream, stream, body.priority)
        self._send(resp, stream, body.offset)
        return True

    def on_post_resume(self, req, resp):
        body = read_json(req, _Resume)
        stream = self._state.streams.get(body.attempt_id)
        if stream is None:
            self._refuse(resp, "no such stream", falcon.HTTP_404)
            return
        self._send(resp, stream, body.offset)

    def _send(self, resp, stream, offset):
        resp.content_type = "text/event-stream"
        resp.stream = self._events(stream, offset)

    def _events(self, stream, offset):
        index = offset
        while True:
            stream.changed.clear()
            while index < len(stream.tokens):
                yield self._event(stream, index)
                index += 1
                break_after = self._state.faults.break_after
                if break_after and index == break_after:
                    raise ConnectionError("broken by fault")
            if stream.cancelled:
                return
            if stream.finished and index >= len(stream.tokens):
                break
            stream.changed.wait()
        ids = {"request_id": stream.request_id, "attempt_id": stream.attempt_id}
        end = ids | {"done": True, "count": len(stream.tokens)}
        yield b"data: " + msgspec.json.encode(end) + b"\n\n"
        self._state.streams.pop(stream.attempt_id, None)

    def _event(self, stream, index):
        event = {
            "request_id": stream.request_id,
            "attempt_id": stream.attempt_id,
            "index": index,
            "text": stream.tokens[index],
        }
        return b"data: " + msgspec.json.encode(event) + b"\n\n"

    def on_post_cancel(self, req, resp):
        self._state.cancel(read_json(req, _Cancel).attempt_id)
        write_json(resp, {"cancelled": True})

    def on_get_kv(self, req, resp, handle):
        prompt = self._state.export(handle)
        if prompt is None:
            raise falcon.HTTPNotFound()
        resp.data = prompt.encode()

    def on_get_load(self, req, resp):
        write_json(resp, self._state.load())

    def on_get_events(self, req, resp):
        after = req.get_param_as_int("after", default=0)
        write_json(resp, {"events": self._state.events_after(after)})

    def on_post_orders(self, req, resp):
        order = read_json(req, _Order)
        state = self._state
        if state.options.checks_fence and order.fence < state.fence:
            write_json(resp, {"accepted": False}, falcon.HTTP_409)
            return
        state.fence = max(state.fence, order.fence)
        state.orders.append(order)
        field = SETUP_FIELDS.get(order.action)
        if field:
            state.setup[field] = order.target
        write_json(resp, {"accepted": True})

    def on_get_orders(self, req, resp):
        state = self._state
        reply = {"orders": state.orders, "fence": state.fence, "setup": state.setup}
        write_json(resp, reply)

    def on_get_held(self, req, resp):
        write_json(resp, {"held": self._state.held(), "counts": self._state.counts})

    def on_post_faults(self, req, resp):
        self._state.faults = read_json(req, EngineFaults)
        write_json(resp, {})


def create_app(state):
    """Returns the stand-in's WSGI application."""
    app = falcon.App()
    engine = _Engine(state)
    for name in ("prefill", "decode", "resume", "cancel", "load", "events", "orders"):
        app.add_route(f"/{name}", engine, suffix=name)
    app.add_route("/kv/{handle}", engine, suffix="kv")
    app.add_route("/control/held", engine, suffix="held")
    app.add_route("/control/faults", engine, suffix="faults")
    return app


def run(address, options):
    """Serves a new engine."""
    state = EngineState(options)
    gevent.spawn(state.record_loads)
    run_server(address, create_app(state))
