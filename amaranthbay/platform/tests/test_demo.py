"""Runs the demo and checks that it shows each scene."""

from amaranthbay.platform.tests.demo import show
from amaranthbay.utils.testing import collect


def test_demo_shows_the_whole_path(case):
    """Guards against a demo that fails or leaves out a scene."""
    lines = []
    show(lines.append)
    text = "\n".join(lines)
    for part in (
        "A lookup names",
        "/pay/",
        "(prompt only)",
        "4 events",
        "stream_servers chose",
        "leads to another service",
        "drains",
        "is killed",
        "answer 200",
    ):
        case.assertIn(part, text)


load_tests = collect(globals())
