"""Backend directory: leaving servers, refusals, stale lists and cut-off daemons."""

import gevent
from gevent import pywsgi
from result import Err, Ok

from amaranthbay.kernel.interfaces import InstanceList
from amaranthbay.membership import BackendDirectory
from amaranthbay.membership.direct import DirectProbes
from amaranthbay.membership.notices import NOTICE_TTL_S, ActiveNotices
from amaranthbay.membership.wire import BackendNotice, BackendState
from amaranthbay.platform.types import Instance, PlatformFailure
from amaranthbay.utils.testing import ManualClock, collect

POOLS = ("decode",)


class StubInstanceList(InstanceList):
    """Instance list with the entries that a test sets; None stands for an outage."""

    def __init__(self, *entries):
        self.entries = entries

    def fetch(self):
        if self.entries is None:
            return Err(PlatformFailure("outage"))
        return Ok(tuple(self.entries))


def server_entry(name, state="live", address="127.0.0.1:1"):
    """Returns the list entry of a backend server."""
    return Instance(name, "backend", "zone-a", state, address, "", "decode", "decode")


def live_names(directory):
    """Returns the names of the servers that may get new work."""
    return [server.instance for server in directory.servers(POOLS)]


def connected_directories(clock, *lists):
    """Returns directories that receive each other's notices."""
    directories = [BackendDirectory(instance_list, clock) for instance_list in lists]

    def gossip_from(sender):
        def gossip(notice):
            for directory in directories:
                if directory is not sender:
                    directory.apply_notice(notice)

        return gossip

    for directory in directories:
        directory.use_peers(lambda: 0.0, gossip_from(directory))
    return directories


def test_leaving_server_is_known_despite_a_lagging_list(case):
    """Guards against new work on a leaving server that a stale list shows as live."""
    clock = ManualClock()
    fresh = StubInstanceList(server_entry("d-1", "leaving"), server_entry("d-2"))
    stale = StubInstanceList(server_entry("d-1"), server_entry("d-2"))
    first, second = connected_directories(clock, fresh, stale)
    second.refresh()
    case.assertEqual(live_names(second), ["d-1", "d-2"])
    first.refresh()
    case.assertEqual(live_names(second), ["d-2"])
    for _ in range(int(3 * NOTICE_TTL_S[BackendState.LEAVING])):
        clock.advance(1)
        first.refresh()
        second.refresh()
        case.assertEqual(live_names(second), ["d-2"])


def test_refusal_is_shared_for_a_short_time(case):
    """Guards against a refusal that every daemon must find out by a request."""
    clock = ManualClock()
    instance_list = StubInstanceList(server_entry("d-1"), server_entry("d-2"))
    first, second = connected_directories(clock, instance_list, instance_list)
    first.refresh()
    second.refresh()
    first.report_refusal("d-1")
    case.assertEqual(live_names(second), ["d-2"])
    clock.advance(NOTICE_TTL_S[BackendState.REFUSING] + 0.1)
    case.assertEqual(live_names(second), ["d-1", "d-2"])


def test_failure_of_one_link_is_not_sent_to_peers(case):
    """Guards against one daemon's broken link that excludes servers everywhere."""
    clock = ManualClock()
    instance_list = StubInstanceList(server_entry("d-1"))
    first, second = connected_directories(clock, instance_list, instance_list)
    first.refresh()
    second.refresh()
    first.report_failure("d-1")
    case.assertEqual(live_names(first), [])
    case.assertEqual(live_names(second), ["d-1"])


def test_replaced_server_gets_work_again(case):
    """Guards against a name that stays excluded after its server was replaced."""
    clock = ManualClock()
    instance_list = StubInstanceList(server_entry("d-1", "leaving"))
    (directory,) = connected_directories(clock, instance_list)
    directory.refresh()
    case.assertEqual(live_names(directory), [])
    instance_list.entries = ()
    directory.refresh()
    instance_list.entries = (server_entry("d-1"),)
    directory.refresh()
    case.assertEqual(live_names(directory), ["d-1"])


def test_same_observation_by_many_daemons_is_sent_once(case):
    """Guards against notices that the daemons pass on endlessly."""
    clock = ManualClock()
    active_notices = ActiveNotices(clock)
    seen_ms = int(clock.now().timestamp() * 1000)
    notices = [
        BackendNotice("d-1", BackendState.LEAVING, seen_ms + number)
        for number in range(300)
    ]
    case.assertEqual(sum(active_notices.apply(notice) for notice in notices), 1)
    old = BackendNotice("d-2", BackendState.LEAVING, seen_ms - 10**6)
    case.assertFalse(active_notices.apply(old))


def test_cut_off_daemon_uses_only_confirmed_servers(case):
    """Guards against new work on a leaving server by a daemon that is cut off."""
    clock = ManualClock()

    def answer(environ, start_response):
        start_response("200 OK", [])
        return [b'{"active": 0}']

    web_server = pywsgi.WSGIServer(("127.0.0.1", 0), answer, log=None)
    web_server.start()
    case.addCleanup(web_server.stop)
    live_server = server_entry("d-1", address=f"127.0.0.1:{web_server.server_port}")
    instance_list = StubInstanceList(live_server, server_entry("d-2"))
    directory = BackendDirectory(instance_list, clock)
    silence = [0.0]
    directory.use_peers(lambda: silence[0], lambda notice: None)
    directory.refresh()
    instance_list.entries = None
    clock.advance(10)
    directory.refresh()
    case.assertEqual(live_names(directory), ["d-1", "d-2"])
    silence[0] = 10.0
    case.assertEqual(live_names(directory), [])
    probe_greenlet = gevent.spawn(directory._run_probes)
    try:
        while not live_names(directory):
            gevent.sleep(0.01)
        case.assertEqual(live_names(directory), ["d-1"])
    finally:
        probe_greenlet.kill()


def test_direct_probe_reads_the_leaving_state(case):
    """Guards against new work on a leaving server because it still answers probes."""
    replies = {"/load": b'{"leaving": true}'}

    def answer(environ, start_response):
        start_response("200 OK", [])
        return [replies[environ["PATH_INFO"]]]

    web_server = pywsgi.WSGIServer(("127.0.0.1", 0), answer, log=None)
    web_server.start()
    case.addCleanup(web_server.stop)
    entry = server_entry("d-1", address=f"127.0.0.1:{web_server.server_port}")
    probes = DirectProbes(ManualClock())
    probes.probe([entry])
    case.assertFalse(probes.confirms("d-1"))
    replies["/load"] = b"{}"
    probes.probe([entry])
    case.assertTrue(probes.confirms("d-1"))


load_tests = collect(globals())
