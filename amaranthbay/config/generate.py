"""Generates a configuration from answers, with a reason for each derived value."""

from dataclasses import dataclass

from amaranthbay.config.types import (
    CallerKind,
    CallPattern,
    Configuration,
    Pool,
    Service,
)
from amaranthbay.config.workspaces import without_keys
from amaranthbay.utils.toml_text import to_toml

__all__ = ["Generated", "generate", "render_configuration"]

GOODPUT_WEIGHTS = {"goodput": 0.75, "both_alike": 0.5, "wasted_prefill": 0.25}
INTERACTIVE_LOOKUP_TTL_S = 10.0
PATIENT_LOOKUP_TTL_S = 30.0
CRASH_LIMIT = 2
# Used for any pool whose answers state no number; a decode engine holds about 20
# requests, and the same is assumed for other servers.
ASSUMED_SLOTS = 20


@dataclass(frozen=True)
class Generated:
    """A configuration with the reasons for its derived values.

    Attributes:
        configuration: `Configuration` with version 0.
        reasons: Explanation of each derived value, by path of its key, which contains
            the name of the entry, such as ``pools.decode.slots``.
    """

    configuration: Configuration
    reasons: dict[str, str]


def generate(answers):
    """Returns the `Generated` configuration; equal answers yield equal results."""
    reasons = {}
    cfg = Configuration(
        version=0,
        deployment=answers.deployment,
        services=tuple(_to_service(each, reasons) for each in answers.services),
        callers=tuple(_to_caller(each, reasons) for each in answers.callers),
        pools=tuple(_to_pool(each, reasons) for each in answers.pools),
        workspaces=answers.workspaces,
        goodput_weight=_goodput_weight(answers, reasons),
        lookup_ttl_s=_lookup_ttl(answers, reasons),
        crash_limit=_crash_limit(answers, reasons),
        keyed_workspaces=_keyed_workspaces(answers, reasons),
    )
    reasons["version"] = "0 until it is accepted; the platform gives the version"
    if not answers.workspaces:
        reasons["workspaces"] = (
            "none named, so each workspace that has a key is admitted"
            if answers.keyed_workspaces
            else "none named, so any name of a workspace is admitted"
        )
    return Generated(cfg, reasons)


def render_configuration(cfg, reasons=None, head=()):
    """Returns a configuration as TOML text.

    Args:
        cfg: `Configuration`.
        reasons: Comments of keys, by path, as `Generated.reasons`; None for none.
        head: Lines of the comment at the top.
    """
    return to_toml(cfg, reasons, head)


def _goodput_weight(answers, reasons):
    explanations = {
        "goodput": "goodput counts three times as much as wasted prefill",
        "both_alike": "goodput and wasted prefill count alike",
        "wasted_prefill": "wasted prefill counts three times as much as goodput",
    }
    reasons["goodput_weight"] = (
        f'weigh_more is "{answers.weigh_more}": {explanations[answers.weigh_more]}'
    )
    return GOODPUT_WEIGHTS[answers.weigh_more]


def _lookup_ttl(answers, reasons):
    targets = [each.first_token_ms for each in answers.callers if each.first_token_ms]
    daemon_count = sum(answers.entry_instances.values())
    if not targets:
        reasons["lookup_ttl_s"] = (
            "no caller waits with a target, so the address of a replaced daemon may"
            f" cost a refused connection now and then; there are {daemon_count} daemons"
        )
        return PATIENT_LOOKUP_TTL_S
    reasons["lookup_ttl_s"] = (
        f"a caller with a target of {min(targets)} ms must not keep the address of a"
        f" replaced daemon for long; there are {daemon_count} daemons"
    )
    return INTERACTIVE_LOOKUP_TTL_S


def _crash_limit(answers, reasons):
    smallest = min(answers.pools, key=lambda pool: sum(pool.instances.values()))
    server_count = sum(smallest.instances.values())
    reasons["crash_limit"] = (
        "one death is not proof against a request, two are; the smallest pool,"
        f" {smallest.name}, has {server_count} backend servers"
    )
    return CRASH_LIMIT


def _keyed_workspaces(answers, reasons):
    workspaces = without_keys(answers).keyed_workspaces
    for workspace in workspaces or ():
        reasons[f"keyed_workspaces.{workspace.name}.key_digests"] = (
            "digests of its keys, as the keys are secret"
            if workspace.key_digests
            else "it has no key, so none of its requests is admitted"
        )
    return workspaces


def _to_caller(answer, reasons):
    interactive = answer.waits == "with_target"
    reasons[f"callers.{answer.name}.interactive"] = (
        "it waits with a target, so it goes before patient work"
        if interactive
        else "it waits as long as it takes, so it is queued and never refused for"
        " slowness"
    )
    return CallerKind(
        answer.name,
        interactive,
        _seconds(answer.first_token_ms),
        _seconds(answer.between_tokens_ms),
    )


def _seconds(milliseconds):
    return None if milliseconds is None else milliseconds / 1000


def _to_service(answer, reasons):
    path = f"services.{answer.name}"
    reasons[f"{path}.callers"] = (
        f"a request that names no kind of caller counts as {answer.callers[0]}"
    )
    if answer.non_idempotent:
        reasons[f"{path}.non_idempotent"] = (
            "these calls need an Idempotency-Key and run at most once"
        )
    patterns = tuple(CallPattern(*each.split(" ", 1)) for each in answer.non_idempotent)
    return Service(answer.name, answer.kind, answer.pools, answer.callers, patterns)


def _to_pool(answer, reasons):
    path = f"pools.{answer.name}"
    slots = answer.requests_at_once
    if slots is None:
        slots = ASSUMED_SLOTS
        reasons[f"{path}.slots"] = "not stated; a backend server holds about 20"
    if not answer.checks_fence:
        reasons[f"{path}.checks_fence"] = (
            "its servers ignore fencing numbers, so a new giver of orders waits until"
            " the old lease and the longest send have passed"
        )
    return Pool(
        answer.name, answer.role, slots, answer.checks_fence, answer.checks_sender
    )
