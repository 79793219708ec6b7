"""Tests of the operators' commands against running daemons."""

from datetime import datetime, timezone

import msgspec

from amaranthbay.cli.tests.test_config import run
from amaranthbay.client import Client
from amaranthbay.config.template import TEMPLATE
from amaranthbay.standins.processes import Deployment, call_json
from amaranthbay.utils.testing import collect, wait_until


def start_two_daemons(case):
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
    """Generates a configuration and returns the result of `config accept`."""
    answers, cfg = deployment.folder / "a.toml", deployment.folder / "c.toml"
    answers.write_text(TEMPLATE)
    run("config", "generate", answers, "--output", cfg)
    platform = deployment.platform.address
    return run(
        *("config", "accept", cfg, "--platform", platform, "--operator", "ana"),
        *options,
    )


def drain(deployment, name, key="peers.key"):
    """Runs the drain command and returns its result."""
    platform = deployment.platform.address
    return run(
        *("drain", name, "--platform", platform, "--operator", "ana"),
        *("--key-file", deployment.folder / key),
    )


def logged_orders(deployment, name):
    """Returns operator and outcome of each order that a daemon logged."""
    lines = deployment.daemons[name].log_lines()
    return [
        (line["operator"], line["outcome"])
        for line in lines
        if line["event"] == "operator_order"
    ]


def test_configuration_commands_against_the_platform(case):
    """Guards against exit codes that hide a conflict, a lagging daemon or an outage."""
    deployment = start_two_daemons(case)
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
    # The commit can't reach the platform, so it was certainly not accepted.
    deployment.platform.kill()
    refused = accept(deployment)
    case.assertEqual(refused.exit_code, 4, refused.output)


def test_drain_needs_the_key_and_another_daemon(case):
    """Guards against a drain without a valid key, and of the last daemon."""
    deployment = start_two_daemons(case)
    unauthenticated = drain(deployment, "entry-1", "wrong-key")
    case.assertEqual(unauthenticated.exit_code, 4, unauthenticated.output)
    case.assertFalse(deployment.status("entry-1")["draining"])
    case.assertEqual(drain(deployment, "entry-9").exit_code, 2)
    accepted = drain(deployment, "entry-1")
    case.assertEqual(accepted.exit_code, 0, accepted.output)
    case.assertEqual(deployment.daemons["entry-1"].popen.wait(10), 0)
    last = drain(deployment, "entry-2")
    case.assertEqual(last.exit_code, 4, last.output)
    case.assertIn("would be the last", last.stderr)
    case.assertFalse(deployment.status("entry-2")["draining"])
    expected = [("", "refused"), ("ana", "taken")]
    case.assertEqual(logged_orders(deployment, "entry-1"), expected)
    case.assertEqual(logged_orders(deployment, "entry-2"), [("ana", "refused")])


def test_status_shows_daemons_and_backend_servers(case):
    """Guards against a status that hides a lagging daemon or a lost platform."""
    deployment = start_two_daemons(case)
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


def test_status_shows_quarantined_requests(case):
    """Guards against a quarantined request that an operator can't find."""
    deployment = start_two_daemons(case)
    deaths = [("f-1", "shared"), ("f-1", "a-1"), ("f-2", "shared")]
    at = datetime.now(timezone.utc).isoformat()
    writes = [
        {
            "key": f"crash/{fingerprint}/{death}",
            "value": crash_mark(fingerprint, death, at),
        }
        for fingerprint, death in deaths
    ]
    platform = deployment.platform.address
    call_json(platform, "POST", "/table/commit", {"writes": writes})
    shown = run("status", deployment.daemons["entry-1"].address)
    case.assertIn("crash marks: 3", shown.stdout)
    case.assertIn("quarantined requests: f-1\n", shown.stdout)


def crash_mark(fingerprint, death, at):
    """Returns the value of the row of a crash mark."""
    return {"fingerprint": fingerprint, "death": death, "at": at, "cleared": False}


def test_explain_shows_a_request_from_the_logs(case):
    """Guards against decisions that can't be found by the id of their request."""
    deployment = start_two_daemons(case)
    address = deployment.daemons["entry-1"].address
    Client([address], "ws-1").call(
        "ledger", "GET", "/balances/a", request_id="request-7"
    )
    logs = [daemon.log_path for daemon in deployment.daemons.values()]
    explained = wait_until(
        lambda: (result := run("explain", "request-7", *logs)).exit_code == 0 and result
    )
    case.assertIn("routing chose ledger-1 of 1", explained.stdout)
    lines = msgspec.json.decode(run("explain", "request-7", *logs, "--json").stdout)
    case.assertEqual({line["request_id"] for line in lines}, {"request-7"})
    case.assertEqual(run("explain", "request-8", *logs).exit_code, 1)


load_tests = collect(globals())
