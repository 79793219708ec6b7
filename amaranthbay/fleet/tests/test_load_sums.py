"""Sums of reported loads, against a sum that is computed anew."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from amaranthbay.fleet.load_sums import LoadSums
from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.utils.testing import collect

SERVERS = st.sampled_from(("s-1", "s-2", "s-3"))
COUNTS = st.integers(0, 3)
LOADS = st.builds(ServerLoad, COUNTS, COUNTS, COUNTS)
REPORTS = st.tuples(
    st.sampled_from(("a", "b", "c")), st.dictionaries(SERVERS, LOADS, max_size=3)
)


@settings(derandomize=True, deadline=None)
@given(reports=st.lists(REPORTS, max_size=30))
def check_sums(reports):
    """Checks the sums after each of some reports."""
    sums, latest = LoadSums(), {}
    for instance, loads in reports:
        sums.replace(instance, loads)
        latest[instance] = loads
        expected = {}
        for known in latest.values():
            for server, load in known.items():
                expected[server] = expected.get(server, ServerLoad()) + load
        expected = {k: load for k, load in expected.items() if load != ServerLoad()}
        assert sums.sums() == expected
        placers = Counter(
            server
            for known in latest.values()
            for server, load in known.items()
            if load.running
        )
        assert sums.placers() == placers


def test_sums_follow_every_report(case):
    """Guards against load that stays after its report was replaced or has expired, and
    against load or an instance that is counted twice."""
    check_sums()


load_tests = collect(globals())
