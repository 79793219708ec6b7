"""Says in plain sentences how two configurations differ."""

from dataclasses import fields

__all__ = ["diff"]

GROUPS = {
    "services": "service",
    "callers": "kind of caller",
    "pools": "pool",
}
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
}
LISTS = {
    "pools": "pool",
    "callers": "kind of caller",
    "workspaces": "workspace",
    "non_idempotent": "call that runs at most once",
}


def diff(old, new):
    """Returns a sentence for each difference; versions are not compared."""
    sentences = _values("", old, new, skip={"version", *GROUPS})
    for group, noun in GROUPS.items():
        before = {each.name: each for each in getattr(old, group)}
        after = {each.name: each for each in getattr(new, group)}
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                sentences.append(f"The {noun} {name} is gone.")
            elif name not in before:
                sentences.append(f"The {noun} {name} is new.")
            else:
                prefix = f"{noun} {name}: "
                sentences.extend(_values(prefix, before[name], after[name], {"name"}))
    return sentences


def _values(prefix, old, new, skip):
    sentences = []
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name in skip or before == after:
            continue
        if field.name in LISTS:
            found = _lists(LISTS[field.name], before, after)
        else:
            label = LABELS.get(field.name, field.name)
            found = [f"{label} changes from {_word(before)} to {_word(after)}."]
        sentences.extend(_sentence(prefix + each) for each in found)
    return sentences


def _lists(noun, before, after):
    old, new = [_entry(each) for each in before], [_entry(each) for each in after]
    gone = [f"the {noun} {each} is removed." for each in old if each not in new]
    added = [f"the {noun} {each} is added." for each in new if each not in old]
    if gone or added:
        return gone + added
    return [f"the order of each {noun} changes to {', '.join(new)}."]


def _entry(value):
    if isinstance(value, str):
        return value
    return f"{value.method} {value.path_prefix}"


def _word(value):
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _sentence(text):
    return text[0].upper() + text[1:]
