"""Engine stand-in: prefill and decode over HTTP, with faults that tests switch on."""

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
from amaranthbay.utils.http import exchange_whole

__all__ = ["create_app", "run"]

IMPORT_TIMEOUT_S = 5.0
CRASH_EXIT_CODE = 70
# Field of the setup that an order sets, by the order's action.
SETUP_FIELDS = {
    "load_model": "model",
    "load_adapter": "adapter",
    "load_version": "version",
    "change_role": "role",
}


class _Prefill(msgspec.Struct):
    """Body of ``POST /prefill``."""

    request_id: str
    attempt_id: str
    model: str
    prompt: str
    priority: int = 0


class _Decode(msgspec.Struct):
    """Body of ``POST /decode``."""

    request_id: str
    attempt_id: str
    model: str
    kv_handle: str
    kv_source: str
    max_tokens: int
    priority: int = 0
    offset: int = 0


class _Resume(msgspec.Struct):
    """Body of ``POST /resume``."""

    attempt_id: str
    offset: int


class _Cancel(msgspec.Struct):
    """Body of ``POST /cancel``."""

    attempt_id: str


class _Order(msgspec.Struct):
    """Body of ``POST /orders``."""

    order_id: str
    fence: int
    action: str
    target: str = ""


class _EngineResource:
    """Handlers of the engine's HTTP requests."""

    def __init__(self, state):
        self._state = state

    def _refuse(self, resp, detail, status=falcon.HTTP_409):
        """Refuses a request, with a reply that says why it did not run."""
        write_json(resp, {"not_run": True, "detail": detail}, status)

    def _crash_on_marker(self, prompt):
        """Ends the process if the prompt contains the crash marker."""
        marker = self._state.options.crash_marker
        if marker and marker in prompt:
            os._exit(CRASH_EXIT_CODE)

    def on_post_prefill(self, req, resp):
        body = read_json(req, _Prefill)
        if self._state.faults.refuse:
            self._refuse(resp, "refused by fault", falcon.HTTP_503)
            return
        if body.attempt_id in self._state.cancelled_attempts:
            self._refuse(resp, "cancelled before it started")
            return
        if self._state.options.role == "prefill":
            self._crash_on_marker(body.prompt)
        handle, tokens, cached = self._state.run_prefill(
            body.attempt_id, body.model, body.prompt, body.priority
        )
        if body.attempt_id in self._state.cancelled_attempts:
            self._state.drop_kv_cache(handle)
        reply = {"kv_handle": handle, "tokens": tokens, "cached_tokens": cached}
        write_json(resp, reply | {"expires_s": self._state.options.kv_life_s})

    def on_post_decode(self, req, resp):
        body = read_json(req, _Decode)
        state = self._state
        if state.faults.refuse or body.attempt_id in state.cancelled_attempts:
            self._refuse(resp, "cancelled or refused", falcon.HTTP_503)
            return
        if state.options.import_needs_slot:
            self._decode_in_slot(resp, body)
        else:
            self._import_and_decode(resp, body)

    def _decode_in_slot(self, resp, body):
        """Imports the KV cache once a slot is free; it may expire during the wait."""
        semaphore = self._state.decode_semaphore
        semaphore.acquire(body.priority)
        started = False
        try:
            started = self._import_and_decode(resp, body)
        finally:
            if not started:
                semaphore.release()

    def _import_and_decode(self, resp, body):
        """Imports the KV cache and starts a stream; returns whether it was started."""
        state = self._state
        result = exchange_whole(
            body.kv_source,
            "GET",
            f"/kv/{body.kv_handle}",
            timeout_s=IMPORT_TIMEOUT_S,
        )
        if result.is_err() or result.unwrap()[0] != 200:
            self._refuse(resp, "KV cache is gone")
            return False
        if body.attempt_id in state.cancelled_attempts:
            self._refuse(resp, "cancelled during import")
            return False
        prompt = result.unwrap()[1].decode()
        self._crash_on_marker(prompt)
        stream = Stream(body.request_id, body.attempt_id, prompt, body.max_tokens)
        state.streams[body.attempt_id] = stream
        gevent.spawn(state.run_stream, stream, body.priority)
        self._send_stream(resp, stream, body.offset)
        return True

    def on_post_resume(self, req, resp):
        body = read_json(req, _Resume)
        stream = self._state.streams.get(body.attempt_id)
        if stream is None:
            self._refuse(resp, "no such stream", falcon.HTTP_404)
            return
        self._send_stream(resp, stream, body.offset)

    def _send_stream(self, resp, stream, offset):
        """Responds with the stream's events from a token index on."""
        resp.content_type = "text/event-stream"
        resp.stream = self._encode_events(stream, offset)

    def _encode_events(self, stream, offset):
        """Yields the stream's events from a token index on, as server-sent events.

        Removes the stream from the state once its last event has been sent.

        Raises:
            ConnectionError: If the fault ``break_after`` breaks the stream.
        """
        index = offset
        while True:
            stream.changed.clear()
            while index < len(stream.tokens):
                yield self._encode_token(stream, index)
                index += 1
                break_after = self._state.faults.break_after
                if break_after and index == break_after:
                    raise ConnectionError("stream broken by the fault break_after")
            if stream.cancelled:
                return
            if stream.finished and index >= len(stream.tokens):
                break
            stream.changed.wait()
        ids = {"request_id": stream.request_id, "attempt_id": stream.attempt_id}
        end = ids | {"done": True, "count": len(stream.tokens)}
        yield b"data: " + msgspec.json.encode(end) + b"\n\n"
        self._state.streams.pop(stream.attempt_id, None)

    def _encode_token(self, stream, index):
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
        prompt = self._state.export_kv_cache(handle)
        if prompt is None:
            raise falcon.HTTPNotFound()
        resp.data = prompt.encode()

    def on_get_load(self, req, resp):
        write_json(resp, self._state.reported_load())

    def on_get_events(self, req, resp):
        after = req.get_param_as_int("after", default=0)
        write_json(resp, {"events": self._state.events_after(after)})

    def on_post_orders(self, req, resp):
        order = read_json(req, _Order)
        state = self._state
        if state.options.checks_fence and order.fence < state.highest_fence:
            write_json(resp, {"accepted": False}, falcon.HTTP_409)
            return
        state.highest_fence = max(state.highest_fence, order.fence)
        state.orders.append(order)
        field = SETUP_FIELDS.get(order.action)
        if field:
            state.setup[field] = order.target
        write_json(resp, {"accepted": True})

    def on_get_orders(self, req, resp):
        state = self._state
        reply = {
            "orders": state.orders,
            "fence": state.highest_fence,
            "setup": state.setup,
        }
        write_json(resp, reply)

    def on_get_held(self, req, resp):
        write_json(
            resp,
            {"held": self._state.attempts_in_memory(), "counts": self._state.counts},
        )

    def on_post_faults(self, req, resp):
        self._state.faults = read_json(req, EngineFaults)
        write_json(resp, {})


def create_app(state):
    """Returns the stand-in's WSGI application, which serves an `EngineState`."""
    app = falcon.App()
    engine = _EngineResource(state)
    for name in ("prefill", "decode", "resume", "cancel", "load", "events", "orders"):
        app.add_route(f"/{name}", engine, suffix=name)
    app.add_route("/kv/{handle}", engine, suffix="kv")
    app.add_route("/control/held", engine, suffix="held")
    app.add_route("/control/faults", engine, suffix="faults")
    return app


def run(address, options):
    """Serves a new engine until the process is asked to stop.

    Args:
        address: ``host:port`` to listen on.
        options: `EngineOptions`.
    """
    state = EngineState(options)
    gevent.spawn(state.sample_load)
    run_server(address, create_app(state))
