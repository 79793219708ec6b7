"""Asks a team the questions whose answers make a configuration."""

import msgspec
import typer

from amaranthbay.config.answers import Answers

__all__ = ["ask_answers"]

LONGEST_TARGET_MS = 600_000


def ask_answers():
    """Returns `Answers` from a dialogue; they may still contradict each other."""
    tree = {
        "deployment": typer.prompt("Name of the deployment"),
        "weigh_more": _choose(
            "What is weighed more", ("goodput", "wasted_prefill", "both_alike")
        ),
        "entry_instances": _ask_zones("entry instances (daemons)"),
        "callers": _ask_entries("kind of caller", _ask_caller),
        "pools": _ask_entries("pool of backend servers", _ask_pool),
        "services": _ask_entries("service", _ask_service),
    }
    return msgspec.convert(tree, Answers)


def _choose(question, choices):
    def parse(text):
        if text not in choices:
            raise typer.BadParameter(f"{text!r} is none of {', '.join(choices)}")
        return text

    return typer.prompt(f"{question} ({', '.join(choices)})", value_proc=parse)


def _ask_number(question, least, most, default=None):
    def parse(text):
        number = int(text) if str(text).isdecimal() else None
        if number is None or not least <= number <= most:
            raise typer.BadParameter(f"a whole number from {least} to {most}")
        return number

    return typer.prompt(question, default=default, value_proc=parse)


def _ask_entries(noun, ask):
    """Asks for entries until the name is left empty."""
    entries = []
    while True:
        hint = "" if not entries else ", empty if that was all"
        question = f"Name of a {noun}{hint}"
        name = typer.prompt(question, default="", show_default=False)
        if name:
            entries.append({"name": name} | ask(name))
        elif entries:
            return entries


def _ask_zones(noun):
    """Returns the number of instances by availability zone."""
    zones = {}
    while True:
        hint = "" if not zones else ", empty if that was all"
        question = f"Availability zone with {noun}{hint}"
        zone = typer.prompt(question, default="", show_default=False)
        if zone:
            zones[zone] = _ask_number(f"Number of {noun} in {zone}", 1, 10_000)
        elif zones:
            return zones


def _ask_caller(name):
    if not typer.confirm(f"Does {name} wait with a target"):
        return {"waits": "as_long_as_it_takes"}
    answer = {"waits": "with_target"}
    question = "Milliseconds to the first token or answer"
    answer["first_token_ms"] = _ask_number(question, 1, LONGEST_TARGET_MS)
    question = "Milliseconds between tokens, 0 if it calls no model"
    between = _ask_number(question, 0, LONGEST_TARGET_MS, default=0)
    if between:
        answer["between_tokens_ms"] = between
    return answer


def _ask_pool(name):
    return {
        "role": _choose(f"Role of {name}", ("prefill", "decode", "plain")),
        "instances": _ask_zones(f"servers of {name}"),
        "checks_sender": typer.confirm("Do its servers check who gives an order"),
        "checks_fence": typer.confirm("Do they refuse an old fencing number"),
    }


def _ask_service(name):
    kind = _choose(f"Kind of {name}", ("model", "plain"))
    answer = {
        "kind": kind,
        "callers": _ask_names("Kinds of caller, the usual one first"),
        "pools": _ask_names("Pools that run it"),
    }
    if kind == "plain":
        question = "Calls that must not run twice, like POST /refunds"
        answer["non_idempotent"] = _ask_names(question)
    return answer


def _ask_names(question):
    text = typer.prompt(f"{question} (separated by commas)", default="")
    return [each.strip() for each in text.split(",") if each.strip()]
