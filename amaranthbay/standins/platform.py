"""Platform stand-in: table service, object store, weight store, instance list.

Faults: ``outage`` answers 503, ``delay_s`` slows every reply, ``lose_replies``
drops the reply of that many commits after they took effect, ``late_commits`` drops
the reply of that many commits and applies them ``late_s`` afterwards,
``commit_reply_delay_s`` holds the reply of a commit that took effect,
``route_delays`` slows paths by prefix, ``list_lag_s`` delays the instance list.
"""

import time
from collections import deque
from dataclasses import dataclass, field, replace
from socket import SHUT_RDWR

import falcon
import gevent
import msgspec

from amaranthbay.platform.types import Instance, Row, WeightInfo, Write
from amaranthbay.standins.serving import read_json, run_server, write_json
from amaranthbay.utils.serving import CONNECTION_KEY

__all__ = ["PlatformState", "create_app", "run"]

HISTORY_LENGTH = 1000


@dataclass(frozen=True)
class PlatformFaults:
    """Faults that are switched on."""

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    late_commits: int = 0
    late_s: float = 0.0
    commit_reply_delay_s: float = 0.0
    route_delays: dict[str, float] = field(default_factory=dict)
    list_lag_s: float = 0.0


class _Commit(msgspec.Struct):
    writes: tuple[Write, ...]


class PlatformState:
    """Rows, objects and instances, in memory."""

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.weights = {}
        self.faults = PlatformFaults()
        self.counts = {"commits": 0, "rows_written": 0, "reads": 0}
        self.counts |= {"objects_put": 0, "objects_got": 0}
        self._version = 0
        self._lists = deque([(0.0, ())], maxlen=HISTORY_LENGTH)

    def commit(self, writes):
        """Applies all writes or none; returns conflicts and new versions."""
        self.counts["commits"] += 1
        conflicts = [write.key for write in writes if not self._allows(write)]
        if conflicts:
            return conflicts, {}
        versions = {}
        for write in writes:
            self._version += 1
            versions[write.key] = self._version
            self._apply(write)
        self.counts["rows_written"] += len(writes)
        return [], versions

    def _allows(self, write):
        if write.if_version is None:
            return True
        row = self.rows.get(write.key)
        return write.if_version == (row.version if row else 0)

    def _apply(self, write):
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        self.rows[write.key] = Row(write.key, write.value, self._version)

    def scan(self, prefix, after, limit):
        """Returns rows in key order."""
        keys = [key for key in self.rows if key.startswith(prefix) and key > after]
        return [self.rows[key] for key in sorted(keys)[:limit]]

    def set_instances(self, instances):
        """Replaces the instance list."""
        self._lists.append((time.monotonic(), tuple(instances)))

    def instances(self):
        """Returns the newest list that is older than the lag."""
        limit = time.monotonic() - self.faults.list_lag_s
        known = [entry for at, entry in self._lists if at <= limit]
        return known[-1]


class _Faulty:
    """Falcon middleware that applies outage and delay."""

    def __init__(self, state):
        self._state = state

    def process_request(self, req, resp):
        if req.path.startswith("/control"):
            return
        faults = self._state.faults
        delays = faults.route_delays.items()
        extra_s = max((s for path, s in delays if req.path.startswith(path)), default=0)
        gevent.sleep(faults.delay_s + extra_s)
        if self._state.faults.outage:
            raise falcon.HTTPServiceUnavailable()


class _Table:
    def __init__(self, state):
        self._state = state

    def on_post_commit(self, req, resp):
        commit = read_json(req, _Commit)
        faults = self._state.faults
        if faults.late_commits:
            self._state.faults = replace(faults, late_commits=faults.late_commits - 1)
            gevent.spawn_later(faults.late_s, self._state.commit, commit.writes)
            req.env[CONNECTION_KEY].shutdown(SHUT_RDWR)
            return
        conflicts, versions = self._state.commit(commit.writes)
        gevent.sleep(faults.commit_reply_delay_s)
        faults = self._state.faults
        if faults.lose_replies:
            left = faults.lose_replies - 1
            self._state.faults = replace(faults, lose_replies=left)
            req.env[CONNECTION_KEY].shutdown(SHUT_RDWR)
            return
        reply = {"committed": not conflicts, "versions": versions}
        status = falcon.HTTP_409 if conflicts else falcon.HTTP_200
        write_json(resp, reply | {"conflicts": conflicts}, status)

    def on_get_row(self, req, resp):
        self._state.counts["reads"] += 1
        row = self._state.rows.get(req.get_param("key", required=True))
        write_json(resp, {"rows": [row] if row else []})

    def on_get_scan(self, req, resp):
        self._state.counts["reads"] += 1
        prefix = req.get_param("prefix", default="")
        after = req.get_param("after", default="")
        limit = req.get_param_as_int("limit", default=1000)
        write_json(resp, {"rows": self._state.scan(prefix, after, limit)})


class _Objects:
    def __init__(self, state):
        self._state = state

    def on_put(self, req, resp, name):
        self._state.counts["objects_put"] += 1
        self._state.objects[name] = req.bounded_stream.read()
        write_json(resp, {})

    def on_get(self, req, resp, name):
        self._state.counts["objects_got"] += 1
        if name not in self._state.objects:
            raise falcon.HTTPNotFound()
        resp.data = self._state.objects[name]
        resp.content_type = "application/octet-stream"


class _Weights:
    def __init__(self, state):
        self._state = state

    def on_get(self, req, resp, name):
        self._state.counts["reads"] += 1
        info = self._state.weights.get(name)
        write_json(resp, {"weights": [info] if info else []})


class _Instances:
    def __init__(self, state):
        self._state = state

    def on_get(self, req, resp):
        self._state.counts["reads"] += 1
        write_json(resp, {"instances": self._state.instances()})


class _Control:
    def __init__(self, state):
        self._state = state

    def on_post_faults(self, req, resp):
        self._state.faults = read_json(req, PlatformFaults)
        write_json(resp, {})

    def on_post_instances(self, req, resp):
        self._state.set_instances(read_json(req, tuple[Instance, ...]))
        write_json(resp, {})

    def on_post_weights(self, req, resp):
        infos = read_json(req, tuple[WeightInfo, ...])
        self._state.weights = {info.name: info for info in infos}
        write_json(resp, {})

    def on_get_counts(self, req, resp):
        write_json(resp, self._state.counts)


def create_app(state):
    """Returns the stand-in's WSGI application."""
    app = falcon.App(middleware=[_Faulty(state)])
    table = _Table(state)
    control = _Control(state)
    app.add_route("/table/commit", table, suffix="commit")
    app.add_route("/table/row", table, suffix="row")
    app.add_route("/table/scan", table, suffix="scan")
    app.add_route("/object/{name:path}", _Objects(state))
    app.add_route("/instances", _Instances(state))
    app.add_route("/control/faults", control, suffix="faults")
    app.add_route("/control/instances", control, suffix="instances")
    app.add_route("/weights/{name:path}", _Weights(state))
    app.add_route("/control/weights", control, suffix="weights")
    app.add_route("/control/counts", control, suffix="counts")
    return app


def run(address):
    """Serves a new, empty platform."""
    run_server(address, create_app(PlatformState()))
