"""Platform stand-in: table service, object store, weight store, instance list."""

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

MAX_INSTANCE_LISTS = 1000


@dataclass(frozen=True)
class PlatformFaults:
    """Faults that are switched on; the defaults switch all of them off.

    Requests to ``/control`` are not affected.

    Attributes:
        outage: Whether requests are answered with status 503.
        delay_s: Seconds by which each request is delayed.
        lose_replies: Number of further commits that take effect while the connection
            is closed without a response.
        late_commits: Number of further commits whose connection is closed without a
            response, and which take effect only ``late_s`` later.
        late_s: Seconds until a late commit takes effect.
        commit_reply_delay_s: Seconds by which the response to a commit is delayed,
            after it took effect.
        route_delays: Additional delay in seconds by prefix of the path; if several
            prefixes match, the longest delay applies.
        list_lag_s: Age in seconds of the instance list that is returned.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    late_commits: int = 0
    late_s: float = 0.0
    commit_reply_delay_s: float = 0.0
    route_delays: dict[str, float] = field(default_factory=dict)
    list_lag_s: float = 0.0


class _Commit(msgspec.Struct):
    """Body of ``POST /table/commit``."""

    writes: tuple[Write, ...]


class PlatformState:
    """Everything that the platform holds in memory.

    Attributes:
        rows: `Row` of the table by key.
        objects: Bytes of each object by name.
        weights: `WeightInfo` by name.
        faults: `PlatformFaults` that are switched on.
        counts: Totals since the start: commits, rows written, reads, and objects
            stored and fetched.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.weights = {}
        self.faults = PlatformFaults()
        self.counts = {"commits": 0, "rows_written": 0, "reads": 0}
        self.counts |= {"objects_put": 0, "objects_got": 0}
        self._last_version = 0
        self._instance_lists = deque([(0.0, ())], maxlen=MAX_INSTANCE_LISTS)

    def commit(self, writes):
        """Applies all writes, or none if a condition of one doesn't hold.

        Returns:
            Keys of the writes whose condition doesn't hold, and a mapping of each
            written key to its new version; the mapping is empty if there are such keys.
        """
        self.counts["commits"] += 1
        conflicts = [write.key for write in writes if not self._condition_holds(write)]
        if conflicts:
            return conflicts, {}
        versions = {}
        for write in writes:
            self._last_version += 1
            versions[write.key] = self._last_version
            self._apply(write)
        self.counts["rows_written"] += len(writes)
        return [], versions

    def _condition_holds(self, write):
        """Returns whether the row has the version that the write expects.

        A write without a version always applies; version 0 stands for no row.
        """
        if write.if_version is None:
            return True
        row = self.rows.get(write.key)
        return write.if_version == (row.version if row else 0)

    def _apply(self, write):
        """Stores a row, or removes it if the write has no value."""
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        self.rows[write.key] = Row(write.key, write.value, self._last_version)

    def scan(self, prefix, after, limit):
        """Returns rows in key order.

        Args:
            prefix: Prefix of the keys.
            after: Key that all returned keys must follow.
            limit: Largest number of rows.
        """
        keys = [key for key in self.rows if key.startswith(prefix) and key > after]
        return [self.rows[key] for key in sorted(keys)[:limit]]

    def set_instances(self, instances):
        """Replaces the instance list."""
        self._instance_lists.append((time.monotonic(), tuple(instances)))

    def instances(self):
        """Returns the newest instance list that is at least ``list_lag_s`` old."""
        cutoff = time.monotonic() - self.faults.list_lag_s
        lists = [
            entries for set_at, entries in self._instance_lists if set_at <= cutoff
        ]
        return lists[-1]


class _FaultMiddleware:
    """Falcon middleware that applies the outage and the delays."""

    def __init__(self, state):
        self._state = state

    def process_request(self, req, resp):
        if req.path.startswith("/control"):
            return
        faults = self._state.faults
        delays = faults.route_delays.items()
        route_delay_s = max(
            (delay_s for prefix, delay_s in delays if req.path.startswith(prefix)),
            default=0,
        )
        gevent.sleep(faults.delay_s + route_delay_s)
        if self._state.faults.outage:
            raise falcon.HTTPServiceUnavailable()


class _TableResource:
    """Handlers of reads and commits of the table."""

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
            remaining = faults.lose_replies - 1
            self._state.faults = replace(faults, lose_replies=remaining)
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


class _ObjectsResource:
    """Handlers of the object store."""

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


class _WeightsResource:
    """Handler of the weight store."""

    def __init__(self, state):
        self._state = state

    def on_get(self, req, resp, name):
        self._state.counts["reads"] += 1
        info = self._state.weights.get(name)
        write_json(resp, {"weights": [info] if info else []})


class _InstancesResource:
    """Handler of the instance list."""

    def __init__(self, state):
        self._state = state

    def on_get(self, req, resp):
        self._state.counts["reads"] += 1
        write_json(resp, {"instances": self._state.instances()})


class _ControlResource:
    """Handlers by which tests set state and faults and read counts."""

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
    """Returns the stand-in's WSGI application, which serves a `PlatformState`."""
    app = falcon.App(middleware=[_FaultMiddleware(state)])
    table = _TableResource(state)
    control = _ControlResource(state)
    app.add_route("/table/commit", table, suffix="commit")
    app.add_route("/table/row", table, suffix="row")
    app.add_route("/table/scan", table, suffix="scan")
    app.add_route("/object/{name:path}", _ObjectsResource(state))
    app.add_route("/instances", _InstancesResource(state))
    app.add_route("/control/faults", control, suffix="faults")
    app.add_route("/control/instances", control, suffix="instances")
    app.add_route("/weights/{name:path}", _WeightsResource(state))
    app.add_route("/control/weights", control, suffix="weights")
    app.add_route("/control/counts", control, suffix="counts")
    return app


def run(address):
    """Serves a new, empty platform until the process is asked to stop."""
    run_server(address, create_app(PlatformState()))
