"""Tests of the test helpers."""

import subprocess
import sys
from unittest import mock

from amaranthbay.utils import testing
from amaranthbay.utils.testing import collect, free_port, free_port_pair

# Allocates a port, prints it and waits for the end of its input.
ALLOCATE = """
import sys
from amaranthbay.utils.testing import free_port
print(free_port(), flush=True)
sys.stdin.read()
"""


def test_port_of_another_test_process_is_not_given_out(case):
    """Guards against two test processes that choose one port before either listens."""
    with subprocess.Popen(
        [sys.executable, "-c", ALLOCATE], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as other:
        taken = int(other.stdout.readline())
        spare = free_port()
        testing._allocated_ports.remove(spare)
        with mock.patch.object(testing, "_port_random") as rng:
            rng.randrange.side_effect = [taken, spare]
            case.assertEqual(free_port(), spare)
        other.stdin.close()
        other.wait()
    with mock.patch.object(testing, "_port_random") as rng:
        rng.randrange.side_effect = [taken]
        case.assertEqual(free_port(), taken)


def test_ports_of_a_pair_are_given_out_once(case):
    """Guards against a pair whose second port another call returns."""
    port = free_port_pair()
    spare = free_port()
    testing._allocated_ports.remove(spare)
    with mock.patch.object(testing, "_port_random") as rng:
        rng.randrange.side_effect = [port, port + 1, spare]
        case.assertEqual(free_port(), spare)


load_tests = collect(globals())
