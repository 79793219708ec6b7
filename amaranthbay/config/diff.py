"""Describes the differences of two configurations in sentences."""

from dataclasses import fields

from amaranthbay.config.workspaces import without_keys
from amaranthbay.utils.differences import (
    capitalize,
    entry_differences,
    value_difference,
)

__all__ = ["diff"]

# Fields of a configuration that hold named entries, and the noun for an entry.
ENTRY_NOUNS = {
    "services": "service",
    "callers": "kind of caller",
    "pools": "pool",
    "keyed_workspaces": "workspace with keys",
}
# Descriptions of fields that hold a single value.
LABELS = {
    "deployment": "the name of the deployment",
    "goodput_weight": "the weight of goodput against wasted prefill",
    "lookup_ttl_s": "the time in seconds that callers keep a lookup's answer",
    "crash_limit": "the number of backend servers that one request may take down",
    "interactive": "whether it waits with a target",
    "first_token_s": "the target for the first token in seconds",
    "between_tokens_s": "the target between tokens in seconds",
    "role": "the role",
    "slots": "the number of requests that one server holds",
    "checks_fence": "whether its servers refuse old fencing numbers",
    "checks_sender": "whether its servers check who gives an order",
    "kind": "the kind",
    "priority": "the priority",
    "unit": "the unit of the quota",
    "rate_per_s": "the rate of the quota in units per second",
    "burst": "the burst of the quota in units",
    "plain_tokens": "the number of tokens of a request that names none",
}
# Fields that hold a list of names or calls, and the noun for an item.
ITEM_NOUNS = {
    "pools": "pool",
    "callers": "kind of caller",
    "workspaces": "workspace",
    "non_idempotent": "call that runs at most once",
}


def diff(old, new):
    """Returns a sentence for each difference between two configurations.

    Versions are not compared. No sentence names a key or its digest.
    """
    old, new = without_keys(old), without_keys(new)
    sentences = _field_differences("", old, new, skip={"version", *ENTRY_NOUNS})
    for group, noun in ENTRY_NOUNS.items():
        before = {each.name: each for each in getattr(old, group) or ()}
        after = {each.name: each for each in getattr(new, group) or ()}
        sentences.extend(entry_differences(noun, before, after, _entry_differences))
    if bool(old.keyed_workspaces) != bool(new.keyed_workspaces):
        need = "a key" if new.keyed_workspaces else "no key"
        sentences.append(f"Callers need {need} from now on.")
    return sentences


def _entry_differences(prefix, old, new):
    return _field_differences(prefix, old, new, {"name"})


def _field_differences(prefix, old, new, skip):
    """Returns a sentence for each field that differs.

    Args:
        prefix: Beginning of each sentence; names the entry that is compared.
        old: Data class before the change.
        new: Data class after the change.
        skip: Names of fields to leave out.
    """
    sentences = []
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name in skip or before == after:
            continue
        if field.name in ("key_digests", *ITEM_NOUNS):
            clauses = (
                _key_differences(before, after)
                if field.name == "key_digests"
                else _list_differences(ITEM_NOUNS[field.name], before, after)
            )
            sentences.extend(capitalize(prefix + each) for each in clauses)
        else:
            label = LABELS.get(field.name, field.name)
            sentences.append(value_difference(prefix, label, before, after))
    return sentences


def _list_differences(noun, before, after):
    old, new = [_item(each) for each in before], [_item(each) for each in after]
    removed = [f"the {noun} {each} is removed." for each in old if each not in new]
    added = [f"the {noun} {each} is added." for each in new if each not in old]
    if removed or added:
        return removed + added
    return [f"the order of each {noun} changes to {', '.join(new)}."]


def _key_differences(before, after):
    """Returns sentences with the numbers of removed and added keys."""
    removed, added = set(before) - set(after), set(after) - set(before)
    changes = (("removed", len(removed)), ("added", len(added)))
    return [
        f"{count} key{'s are' if count > 1 else ' is'} {change}."
        for change, count in changes
        if count
    ]


def _item(value):
    if isinstance(value, str):
        return value
    return f"{value.method} {value.path_prefix}"
