"""Faults of the store and changes of the configuration."""

import gevent
import msgspec

from amaranthbay.platform.tests.fixtures import server_entry
from amaranthbay.platform.tests.soak.deployment import SERVERS
from amaranthbay.platform.tests.soak.process_faults import STORE_SETTLE_S
from amaranthbay.platform.tests.soak.steps import Fault, choose_by_strength

__all__ = ["Configure", "OddEntries", "Restore", "Store"]

LOST_ANSWERS, LATE_WRITE_S = 3, 1.0
# Longest time until the writers write again after a restore.
MAX_REWRITE_DELAY_S = 2.0
ODD_ENTRY_INTERVAL_S = 0.2
NESTED_LEVELS = 100_000
# Numbers that fit no machine word, and no floating-point number.
LARGE_NUMBERS = (b"9" * 30, b"9" * 400, b"1e400")


class Store(Fault):
    """The store is down or silent, or it loses answers or its history.

    Its variants, by strength: ``down`` answers 503, ``silent`` answers nothing,
    ``forgetful`` has dropped its history of changes, ``lost`` loses the answers to some
    writes, and ``late`` also applies these writes late.
    """

    VARIANTS = ("down", "silent", "forgetful", "lost", "late")
    settle_s = STORE_SETTLE_S

    def targets(self, deployment):
        return ["store"]

    def inject(self, deployment, step):
        store = deployment.store
        variant = choose_by_strength(self.VARIANTS, step.strength)
        if variant == "down":
            store.error_status = 503
        elif variant == "silent":
            store.silent = True
            # The change wakes the polls that wait, so that they get no answer either.
            store.put("other", "wakes", b"polls that wait")
        elif variant == "forgetful":
            store.compacted_version = store.version
            # The next poll of one process starts at a version that is gone.
            next(iter(deployment.processes.values())).store_link.reset()
        else:
            store.answers_to_lose = LOST_ANSWERS
            store.late_write_s = LATE_WRITE_S if variant == "late" else 0.0
        gevent.sleep(step.duration_s)
        store.error_status, store.silent, store.answers_to_lose = 0, False, 0


class Restore(Fault):
    """The store is restored from an older copy, after an outage if strength is low."""

    settle_s = STORE_SETTLE_S

    def targets(self, deployment):
        return ["store"]

    def inject(self, deployment, step):
        copy = deployment.store.copy()
        gevent.sleep(step.duration_s)
        if step.strength < 0.5:
            deployment.store.error_status = 503
            gevent.sleep(step.duration_s)
            deployment.store.error_status = 0
        deployment.restore_store(copy, MAX_REWRITE_DELAY_S * step.strength)


class Configure(Fault):
    """The configuration changes, several times in a row if the strength is high."""

    settle_s = 0.0

    def targets(self, deployment):
        return ["configuration"]

    def inject(self, deployment, step):
        for _ in range(1 + int(step.strength * 4)):
            service = deployment.versions[-1].service
            deployment.configure("other" if service == "desk" else "desk")
            gevent.sleep(0.3)


class ChangeKeys(Fault):
    """A configuration removes and adds keys, in a run with keys."""

    settle_s = 0.0
    max_steps = 3

    def targets(self, deployment):
        return ["keys"]

    def inject(self, deployment, step):
        if deployment.keys.in_use:
            deployment.configure(deployment.versions[-1].service)


class OddEntries(Fault):
    """Another writer adds entries of servers that nobody can read, and removes them."""

    max_steps = 2

    def targets(self, deployment):
        return ["entries"]

    def inject(self, deployment, step):
        names = []
        service, stage = choose_by_strength(
            sorted(set(SERVERS.values()), key=str), step.strength
        )
        for number, value in enumerate(_odd_entries(service, stage)):
            names.append(f"odd-{step.start_s:.1f}-{number}")
            deployment.write_odd_entry(names[-1], value)
            gevent.sleep(ODD_ENTRY_INTERVAL_S * step.strength)
        gevent.sleep(step.duration_s)
        for name in names:
            deployment.remove_entry(name)


def _odd_entries(service, stage):
    """Yields the bytes of entries that each have something odd."""
    nested = b"[" * NESTED_LEVELS + b"]" * NESTED_LEVELS
    # Nothing listens at this address.
    sound = server_entry(service, "127.0.0.1:1", stage)
    yield from (b"", b"\xff\xfe", b"{", b"null", b"7", b"[]", nested)
    yield msgspec.json.encode(sound | {"Note": msgspec.Raw(nested)})
    for field in ("Service", "Address", "State", "Slots", "Sequence"):
        for raw in (*LARGE_NUMBERS, b"-1", b"null", b"{}"):
            yield msgspec.json.encode(sound | {field: msgspec.Raw(raw)})
    for port in (":0", ":-1", ":65536", ":" + "9" * 30, ":x", ""):
        yield msgspec.json.encode(sound | {"Address": f"127.0.0.1{port}"})
