"""Tests of workspaces with keys in answers and configurations; keys stay secret."""

from dataclasses import fields, make_dataclass, replace
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from amaranthbay.config import (
    check_file,
    diff,
    encode_configuration,
    generate,
    load_answers,
    load_configuration,
    render_configuration,
)
from amaranthbay.config.template import TEMPLATE
from amaranthbay.config.workspaces import KeyedWorkspace, key_digest
from amaranthbay.state.sections import assemble, decode_manifest, encode_sections
from amaranthbay.utils.testing import collect

KEY = "asnmgkcuyj8pjbvk9m68"
OTHER_KEY = "k7b2ex5wa5xwyhks8nbk"
WORKSPACES = f"""
[[keyed_workspaces]]
name = "shop"
keys = ["{KEY}"]
priority = 2

[[keyed_workspaces]]
name = "desk"
keys = ["{OTHER_KEY}"]
"""


def write(case, text):
    """Returns the path of a new file with a text."""
    path = Path(case.enterContext(TemporaryDirectory())) / "file.toml"
    path.write_text(text)
    return path


def keyed_configuration(case):
    """Returns the configuration generated from answers with two keys."""
    checked = load_answers(write(case, TEMPLATE + WORKSPACES))
    case.assertEqual(checked.faults, ())
    return generate(checked.value)


def test_keys_become_digests_in_all_that_leaves_the_answers(case):
    """Guards against a key in a generated file, a section, a difference or a repr."""
    generated = keyed_configuration(case)
    cfg = generated.configuration
    text = render_configuration(cfg, generated.reasons)
    manifest, sections = encode_sections(cfg)
    case.assertEqual(load_configuration(write(case, text)).value, cfg)
    plain = replace(cfg, keyed_workspaces=(KeyedWorkspace("shop", (KEY, OTHER_KEY)),))
    shown = [
        text,
        repr(plain),
        repr(encode_sections(plain)),
        repr((manifest, sections)),
        msgspec.json.encode(generated).decode(),
        *diff(cfg, plain),
    ]
    for each in shown:
        case.assertNotIn(KEY, each)
        case.assertNotIn(OTHER_KEY, each)
    case.assertIn(key_digest(KEY.encode()), text)


def test_sections_hold_the_workspaces_with_keys(case):
    """Guards against a workspace or a key that gets lost on the way to the daemons."""
    cfg = keyed_configuration(case).configuration
    ordered = sorted(cfg.keyed_workspaces, key=lambda each: each.name)
    cfg = replace(cfg, keyed_workspaces=tuple(ordered))
    manifest, sections = encode_sections(cfg)
    restored = assemble(decode_manifest(manifest), sections)
    case.assertEqual(restored, cfg)
    table = restored.workspace_keys.workspaces
    case.assertEqual(table.find(key_digest(KEY.encode()).encode()).priority, 2)
    case.assertIsNone(table.find(KEY.encode()))


def test_earlier_release_reads_only_configurations_without_keys(case):
    """Guards against a daemon of an earlier release that ignores the keys.

    Also against other bytes for a configuration without keys, whose base section all
    daemons would have to fetch again.

    It decodes sections as lists of names, and ignores unknown fields of the base one.
    """
    cfg = keyed_configuration(case).configuration
    with_names = replace(cfg, keyed_workspaces=None, workspaces=("shop", "desk"))
    earlier_fields = {
        field.name: getattr(with_names, field.name)
        for field in fields(with_names)
        if field.name != "keyed_workspaces"
    }
    earlier_class = make_dataclass("EarlierConfiguration", list(earlier_fields))
    earlier_body = msgspec.json.encode(
        earlier_class(**earlier_fields), order="deterministic"
    )
    case.assertEqual(encode_configuration(with_names), earlier_body)

    def decode_as_earlier_release(configuration):
        manifest, sections = encode_sections(configuration)
        for name in decode_manifest(manifest).names()[1:]:
            msgspec.json.decode(sections[name], type=list[str])

    decode_as_earlier_release(with_names)
    with case.assertRaises(msgspec.ValidationError) as raised:
        decode_as_earlier_release(cfg)
    case.assertNotIn("shop", str(raised.exception))


def test_computed_tables_are_not_encoded(case):
    """Guards against an encoding that changes once a configuration has been used."""
    cfg = keyed_configuration(case).configuration
    before = encode_configuration(cfg)
    case.assertIsNotNone(cfg.workspace_keys.workspaces)
    case.assertEqual(encode_configuration(cfg), before)


def test_faults_name_no_key(case):
    """Guards against a check that prints a key, also under a wrong name."""
    wrong_key = "this key has blanks"
    faulty = {
        "keyed_workspaces[0].keys": (f'["{KEY}"]', f'["{wrong_key}"]'),
        "keyed_workspaces[0].key": ("keys = [", "key = ["),
        "keyed_workspaces[0].key_digests": ("keys = [", "key_digests = ["),
        "keyed_workspaces[1].keys": (f'["{OTHER_KEY}"]', f'["{KEY}"]'),
        "keyed_workspaces[1].name": ('"desk"', '"shop"'),
        "keyed_workspaces[0].priority": ("priority = 2", "priority = 10"),
        "keyed_workspaces[0].rate_per_s": ("priority = 2", "rate_per_s = 5"),
        "keyed_workspace": ("[[keyed_workspaces]]", "[[keyed_workspace]]"),
        "keyed_workspaces": (WORKSPACES, f'[keyed_workspaces]\nkeys = ["{KEY}"]'),
    }
    for key, (old, new) in faulty.items():
        with case.subTest(key):
            path = write(case, TEMPLATE + WORKSPACES.replace(old, new, 1))
            faults = check_file(path).faults
            case.assertIn(key, [fault.key for fault in faults])
            text = "\n".join(str(fault) for fault in faults)
            for secret in (KEY, OTHER_KEY, wrong_key):
                case.assertNotIn(secret[:8], text)


def test_key_with_a_line_end_is_a_fault(case):
    """Guards against a key that is accepted, but that no caller can send."""
    text = TEMPLATE + WORKSPACES.replace(f'"{KEY}"', f'"{KEY}\\n"')
    keys = [fault.key for fault in check_file(write(case, text)).faults]
    case.assertEqual(keys, ["keyed_workspaces[0].keys"])


def test_workspace_outside_the_list_of_names_is_a_fault(case):
    """Guards against a key whose requests are all refused by the list of names."""
    text = TEMPLATE.replace("workspaces = []", 'workspaces = ["shop"]') + WORKSPACES
    keys = [fault.key for fault in load_answers(write(case, text)).faults]
    case.assertEqual(keys, ["keyed_workspaces[1].name"])


def test_differences_of_keys_and_priorities_are_described(case):
    """Guards against a change of who may call that the description omits."""
    new = keyed_configuration(case).configuration
    old = replace(new, keyed_workspaces=None)
    case.assertEqual(
        diff(old, new),
        [
            "The workspace with keys desk is new.",
            "The workspace with keys shop is new.",
            "Callers need a key from now on.",
        ],
    )
    shop, desk = new.keyed_workspaces
    changed = replace(shop, keys=(OTHER_KEY,), key_digests=(), priority=0)
    case.assertEqual(
        diff(new, replace(new, keyed_workspaces=(changed, desk))),
        [
            "Workspace with keys shop: 1 key is removed.",
            "Workspace with keys shop: 1 key is added.",
            "Workspace with keys shop: the priority changes from 2 to 0.",
        ],
    )


load_tests = collect(globals())
