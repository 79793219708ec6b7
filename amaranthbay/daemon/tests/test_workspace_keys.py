"""Keys of workspaces over separate processes: admission, removal, and secrecy."""

from dataclasses import replace

from typer.testing import CliRunner

from amaranthbay.cli.main import app
from amaranthbay.client import CallFailed, Client
from amaranthbay.config.workspaces import KeyedWorkspace
from amaranthbay.standins.processes import (
    Deployment,
    small_configuration,
    start_small_deployment,
)
from amaranthbay.standins.tokens import answer_text
from amaranthbay.utils.testing import collect, wait_until

KEY = "asnmgkcuyj8pjbvk9m68"
OTHER_KEY = "k7b2ex5wa5xwyhks8nbk"
SHOP = KeyedWorkspace("shop", (KEY,))
DESK = KeyedWorkspace("desk", (OTHER_KEY,), priority=0)


def refusal_of(daemon, key):
    """Returns status, reason and verdict of a refused call at one daemon, or None."""
    client = Client([daemon.address], "shop", key=key)
    client.addresses = lambda service: (daemon.address,)
    try:
        list(client.complete("summary", "x" * 400, 5))
    except CallFailed as exc:
        return exc.problem.get("status"), exc.problem.get("reason"), exc.verdict
    return None


def test_removed_key_is_refused_everywhere_while_its_stream_ends(case):
    """Guards against a key that some daemon goes on to accept, and a broken stream."""
    cfg = replace(small_configuration(), workspaces=(), keyed_workspaces=(SHOP, DESK))
    deployment = start_small_deployment(case.enterContext(Deployment()), cfg=cfg)
    daemons = list(deployment.daemons.values())
    denied = (401, "unauthenticated", "not_run")
    for daemon in daemons:
        case.assertIsNone(refusal_of(daemon, KEY))
        case.assertEqual(refusal_of(daemon, ""), denied)
    prompt = "x" * 400
    texts = Client([daemons[0].address], "", key=KEY).complete("summary", prompt, 200)
    parts = [next(texts)]
    deployment.accept(replace(cfg, keyed_workspaces=(DESK,)))
    for daemon in daemons:
        wait_until(lambda: refusal_of(daemon, KEY) == denied)
        case.assertIsNone(refusal_of(daemon, OTHER_KEY))
    parts.extend(texts)
    case.assertEqual("".join(parts), answer_text(prompt, 200))
    arguments = ["config", "show", "--platform", deployment.platform.address]
    shown = [CliRunner().invoke(app, arguments).output]
    shown.append(CliRunner().invoke(app, [*arguments, "--json"]).output)
    case.assertIn("desk", shown[0])
    shown += [path.read_text() for path in deployment.folder.glob("*.log")]
    for key in (KEY, OTHER_KEY):
        case.assertNotIn(key, "\n".join(shown))


load_tests = collect(globals())
