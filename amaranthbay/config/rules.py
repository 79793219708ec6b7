"""Rules that find contradictions in answers and in configurations."""

from collections import Counter

from amaranthbay.utils.checking import TreeFault

__all__ = ["answer_faults", "configuration_faults"]

MODEL_ROLES = ("prefill", "decode")


def answer_faults(answers):
    """Yields a `TreeFault` for each contradiction between answers."""
    yield from _shared_faults(answers)
    model_callers = {
        name
        for service in answers.services
        if service.kind == "model"
        for name in service.callers
    }
    for index, caller in enumerate(answers.callers):
        key = f"callers[{index}]"
        targets = (caller.first_token_ms, caller.between_tokens_ms)
        if caller.waits == "as_long_as_it_takes":
            yield from _patient_faults(key, targets, "_ms")
        elif caller.first_token_ms is None:
            allowed = 'a target, since the caller waits "with_target"'
            yield TreeFault(f"{key}.first_token_ms", None, allowed)
        elif caller.name in model_callers and caller.between_tokens_ms is None:
            allowed = "a target, since the caller waits for a model's tokens"
            yield TreeFault(f"{key}.between_tokens_ms", None, allowed)


def configuration_faults(cfg):
    """Yields a `TreeFault` for each contradiction in a configuration."""
    yield from _shared_faults(cfg)
    for index, caller in enumerate(cfg.callers):
        key = f"callers[{index}]"
        targets = (caller.first_token_s, caller.between_tokens_s)
        if not caller.interactive:
            yield from _patient_faults(key, targets, "_s")
        elif caller.first_token_s is None:
            allowed = "a target, since the caller is interactive"
            yield TreeFault(f"{key}.first_token_s", None, allowed)


def _patient_faults(key, targets, unit_suffix):
    """Yields a `TreeFault` for each target of a patient caller."""
    names = (f"first_token{unit_suffix}", f"between_tokens{unit_suffix}")
    for name, target in zip(names, targets, strict=True):
        if target is not None:
            allowed = "no target, since the caller waits as long as it takes"
            yield TreeFault(f"{key}.{name}", target, allowed)


def _shared_faults(document):
    """Yields the contradictions that answers and a configuration can both have.

    Args:
        document: `Answers` or `Configuration`.
    """
    for group in ("callers", "services", "pools"):
        entries = getattr(document, group)
        if not entries:
            yield TreeFault(group, [], "at least one entry")
        yield from _duplicate_name_faults(group, entries)
    callers = {each.name: each for each in document.callers}
    pools = {each.name: each for each in document.pools}
    for index, service in enumerate(document.services):
        key = f"services[{index}]"
        yield from _reference_faults(f"{key}.callers", service.callers, callers)
        yield from _reference_faults(f"{key}.pools", service.pools, pools)
        yield from _role_faults(key, service, pools)
        if service.kind == "model" and service.non_idempotent:
            allowed = "an empty list for a model, whose calls may be repeated"
            value = [str(each) for each in service.non_idempotent]
            yield TreeFault(f"{key}.non_idempotent", value, allowed)
    yield from _unused_entry_faults("callers", document)
    yield from _unused_entry_faults("pools", document)
    yield from _keyed_workspace_faults(document)


def _duplicate_name_faults(group, entries):
    counts = Counter(each.name for each in entries)
    for index, entry in enumerate(entries):
        if counts[entry.name] > 1:
            allowed = "a name that no other entry has"
            yield TreeFault(f"{group}[{index}].name", entry.name, allowed)


def _reference_faults(key, names, defined):
    """Yields a `TreeFault` for each name without an entry, or if there are no names."""
    if not names:
        yield TreeFault(key, [], "at least one name")
    for name in names:
        if name not in defined:
            yield TreeFault(key, name, "one of " + ", ".join(defined))


def _role_faults(key, service, pools):
    """Yields a `TreeFault` if the pools don't have the roles that the service needs.

    A service that names an unknown pool is skipped, as `_reference_faults` reports it.
    """
    roles = [pools[name].role for name in service.pools if name in pools]
    if len(roles) < len(service.pools):
        return
    expected = MODEL_ROLES if service.kind == "model" else ("plain",)
    if set(roles) != set(expected):
        allowed = f"pools of the role {' and '.join(expected)} for a {service.kind}"
        yield TreeFault(f"{key}.pools", list(service.pools), allowed)


def _unused_entry_faults(group, document):
    used = {name for service in document.services for name in getattr(service, group)}
    for index, entry in enumerate(getattr(document, group)):
        if entry.name not in used:
            allowed = f"an entry that a service names in its {group}"
            yield TreeFault(f"{group}[{index}].name", entry.name, allowed)


def _keyed_workspace_faults(document):
    """Yields the contradictions of the workspaces with keys; names no key."""
    entries = document.keyed_workspaces
    if entries is None:
        return
    if not entries:
        # An empty list could be read as "no key is valid" or as "no key is needed".
        allowed = "at least one entry; without the list callers need no key"
        yield TreeFault("keyed_workspaces", None, allowed)
    yield from _duplicate_name_faults("keyed_workspaces", entries)
    counts = Counter(digest for each in entries for digest in each.all_digests())
    for index, entry in enumerate(entries):
        key = f"keyed_workspaces[{index}]"
        if not entry.name.isprintable() or entry.name != entry.name.strip():
            allowed = "printable characters without a blank at the beginning or end"
            yield TreeFault(f"{key}.name", entry.name, allowed)
        if document.workspaces and entry.name not in document.workspaces:
            allowed = (
                "one of the names in workspaces, or any name if that list is empty"
            )
            yield TreeFault(f"{key}.name", entry.name, allowed)
        if any(counts[digest] > 1 for digest in entry.all_digests()):
            allowed = "keys that no other workspace has"
            yield TreeFault(f"{key}.keys", None, allowed)
        if entry.rate_per_s:
            # A quota that is accepted and not enforced would be taken for a limit.
            allowed = "0, since quotas are not enforced yet"
            yield TreeFault(f"{key}.rate_per_s", entry.rate_per_s, allowed)
