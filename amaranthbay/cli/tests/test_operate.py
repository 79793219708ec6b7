"""Operators' commands against running daemons."""

import msgspec

from amaranthbay.cli.tests.test_config import run
from amaranthbay.client import Client
from amaranthbay.config.template import TEMPLATE
from amaranthbay.standins.processes import Deployment
from amaranthbay.utils.testing import collect, wait_until


def two_daemons(case):
    """Starts two daemons with a key, a ledger and an accepted configuration."""
    deployment = case.enterContext(Deployment())
    (deployment.folder / "wrong-key").write_text("x" * 32)
    deployment.start_ledger()
    for name in ("entry-1", "entry-2"):
        deployment.start_daemon(name)
    deployment.publish()
    accept(deployment)
    deployment.wait_ready()
    return deployment


def accept(deployment, *options):
    """Generates and accepts a configuration with the commands."""
    answers, cfg = deployment.folder / "a.toml", deployment.folder / "c.toml"
    answers.write_text(TEMPLATE)
    run("config", "generate", answers, "--output", cfg)
    platform = deployment.platform.address
    return run(
        *("config", "accept", cfg, "--platform", platform, "--operator", "ana"),
        *options,
    )


def drain(deployment, name, key="peers.key"):
    """Runs the drain command."""
    platform = deployment.platform.address
    return run(
        *("drain", name, "--platform", platform, "--operator", "ana"),
        *("--key-file", deployment.folder / key),
    )


def orders(deployment, name):
    """Returns operator and outcome of each order in a daemon's log."""
    lines = deployment.daemons[name].log_lines()
    return [
        (line["operator"], line["outcome"])
        for line in lines
        if line["event"] == "operator_order"
    ]


def test_configuration_commands_against_the_platform(case):
    """Guards against an outcome that the exit code doesn't show."""
    deployment = two_daemons(case)
    platform = deployment.platform.address
    conflict = accept(deployment, "--expected", "7")
    case.assertEqual(conflict.exit_code, 3, conflict.output)
    shown = run("config", "show", "--platform", platform)
    case.assertEqual(shown.exit_code, 0, shown.output)
    case.assertIn("# Version 1, accepted by ana.", shown.stdout)
    second = accept(deployment, "--expected", "1", "--json")
    case.assertEqual(msgspec.json.decode(second.stdout)["version"], 2)
    deployment.wait_ready(version=2)
    in_force = run("config", "show", "--platform", platform, "--in-force")
    case.assertEqual(in_force.exit_code, 0, in_force.output)
    case.assertIn("entry-2: version 2", in_force.stdout)
    deployment.daemons["entry-2"].kill()
    in_force = run("config", "show", "--platform", platform, "--in-force")
    case.assertEqual(in_force.exit_code, 1, in_force.output)
    case.assertIn("entry-2: no answer (lags)", in_force.stdout)
    # The platform is gone: neither accepted nor in doubt.
    deployment.platform.kill()
    lost = accept(deployment)
    case.assertEqual(lost.exit_code, 4, lost.output)


def test_drain_takes_only_safe_orders(case):
    """Guards against a drain by a stranger, and against the last daemon's."""
    deployment = two_daemons(case)
    stranger = drain(deployment, "entry-1", "wrong-key")
    case.assertEqual(stranger.exit_code, 4, stranger.output)
    case.assertFalse(deployment.status("entry-1")["draining"])
    case.assertEqual(drain(deployment, "entry-9").exit_code, 2)
    taken = drain(deployment, "entry-1")
    case.assertEqual(taken.exit_code, 0, taken.output)
    case.assertEqual(deployment.daemons["entry-1"].popen.wait(10), 0)
    last = drain(deployment, "entry-2")
    case.assertEqual(last.exit_code, 4, last.output)
    case.assertIn("would be the last", last.stderr)
    case.assertFalse(deployment.status("entry-2")["draining"])
    first = [("", "refused"), ("ana", "taken")]
    case.assertEqual(orders(deployment, "entry-1"), first)
    case.assertEqual(orders(deployment, "entry-2"), [("ana", "refused")])


def test_status_shows_daemons_and_workers(case):
    """Guards against a status that leaves out who lags."""
    deployment = two_daemons(case)
    address = deployment.daemons["entry-1"].address
    shown = run("status", address)
    case.assertEqual(shown.exit_code, 0, shown.output)
    case.assertIn("entry-2 (zone-a): live, configuration version 1", shown.stdout)
    case.assertIn("ledger-1 (ledger, plain, zone-a): live", shown.stdout)
    case.assertIn("leases: 0", shown.stdout)
    deployment.daemons["entry-2"].kill()
    document = msgspec.json.decode(run("status", address, "--json").stdout)
    lagging = [row["instance"] for row in document["daemons"] if row["lags"]]
    case.assertEqual(lagging, ["entry-2"])
    deployment.platform.kill()
    case.assertIn("leases: unknown", run("status", address).stdout)
    deployment.daemons["entry-1"].kill()
    case.assertEqual(run("status", address).exit_code, 1)


def test_explain_shows_a_request_from_the_logs(case):
    """Guards against decisions that can't be found by their request."""
    deployment = two_daemons(case)
    address = deployment.daemons["entry-1"].address
    Client([address], "ws-1").call(
        "ledger", "GET", "/balances/a", request_id="request-7"
    )
    logs = [each.log_path for each in deployment.daemons.values()]
    explained = wait_until(
        lambda: (found := run("explain", "request-7", *logs)).exit_code == 0 and found
    )
    case.assertIn("routing chose ledger-1 of 1", explained.stdout)
    lines = msgspec.json.decode(run("explain", "request-7", *logs, "--json").stdout)
    case.assertEqual({line["request_id"] for line in lines}, {"request-7"})
    case.assertEqual(run("explain", "request-8", *logs).exit_code, 1)


load_tests = collect(globals())
