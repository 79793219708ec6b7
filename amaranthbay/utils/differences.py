"""Describes differences between two versions of named entries in sentences."""

__all__ = ["capitalize", "entry_differences", "value_difference", "value_text"]


def entry_differences(noun, before, after, describe):
    """Yields a sentence for each entry that is new, gone or different.

    Args:
        noun: Noun for an entry.
        before: Entries by name before the change.
        after: Entries by name after the change.
        describe: Function of the beginning of each sentence, of an entry and of its
            later version that returns sentences.

    Examples:
        >>> list(entry_differences("pool", {"a": 1}, {"b": 1}, None))
        ['The pool a is gone.', 'The pool b is new.']
    """
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"The {noun} {name} is gone."
        elif name not in before:
            yield f"The {noun} {name} is new."
        else:
            yield from describe(f"{noun} {name}: ", before[name], after[name])


def value_difference(prefix, label, before, after):
    """Returns the sentence for a value that differs.

    Args:
        prefix: Beginning of the sentence, which names the entry; may be empty.
        label: Description of the value.
        before: Value before the change.
        after: Value after the change.

    Examples:
        >>> value_difference("pool a: ", "the role", "decode", None)
        'Pool a: the role changes from decode to none.'
    """
    texts = f"from {value_text(before)} to {value_text(after)}"
    return capitalize(f"{prefix}{label} changes {texts}.")


def value_text(value):
    """Returns a value as operators read it."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def capitalize(text):
    """Returns a text that begins with a capital letter and is otherwise the same."""
    return text[0].upper() + text[1:]
