"""Keys of workspaces in a soak run: what configurations have and callers send."""

import random

__all__ = ["LIMITED_KEY", "OWN_WORKSPACE", "QUOTA", "RunKeys"]

# Share of the seeds whose configurations have workspaces.
KEYED_SHARE = 0.5
WORKSPACE_COUNT = 3
# Shares of the requests with the newest changing key, with an earlier one, and with
# one that no configuration has; half of the last have no key at all.
NEW_SHARE, FORMER_SHARE, UNKNOWN_SHARE = 0.1, 0.1, 0.05
# Workspace with a quota, its key and its quota in requests. Its callers ask for more,
# and processes that know nothing of each other would allow more.
LIMITED_WORKSPACE, LIMITED_KEY = "w-limited", "limited-k8nbk"
QUOTA = {"RatePerS": 10, "Burst": 10}
# Workspace that callers name themselves.
OWN_WORKSPACE = "named-by-caller"


class RunKeys:
    """The keys of one run.

    Each workspace has a key that all configurations have, and one that changes with
    each configuration.

    Attributes:
        in_use: Whether the configurations have workspaces.
    """

    def __init__(self, seed, played):
        """Creates the keys.

        Args:
            seed: Seed of the run.
            played: `collections.Counter` of what was played.
        """
        self.in_use = random.Random(f"keys {seed}").random() < KEYED_SHARE
        self._played = played
        self._changes = 0

    def next_keys(self):
        """Returns the workspace of each key of the next configuration, or None."""
        if not self.in_use:
            return None
        self._changes += 1
        self._played["changes of keys"] += 1
        workspaces = range(WORKSPACE_COUNT)
        lasting = {_lasting_key(n): f"w-{n}" for n in workspaces}
        lasting[LIMITED_KEY] = LIMITED_WORKSPACE
        return lasting | {_changing_key(n, self._changes): f"w-{n}" for n in workspaces}

    @staticmethod
    def tenant(name, keys):
        """Returns the document of a workspace.

        Args:
            name: Name of the workspace.
            keys: Name of the workspace by key.
        """
        quota = QUOTA if name == LIMITED_WORKSPACE else {}
        own = [key for key in keys if keys[key] == name]
        return {"Name": name, "ApiKeys": own, **quota}

    def lasting(self, attempt):
        """Returns a key that all configurations have, or None if keys aren't in use."""
        number = random.Random(f"workspace {attempt}").randrange(WORKSPACE_COUNT)
        return _lasting_key(number) if self.in_use else None

    def any(self, attempt):
        """Returns the key of a request; empty for none, None if keys aren't in use."""
        rng = random.Random(f"key {attempt}")
        draw, number = rng.random(), rng.randrange(WORKSPACE_COUNT)
        key = self.lasting(attempt)
        if not self.in_use or draw >= NEW_SHARE + FORMER_SHARE + UNKNOWN_SHARE:
            return key
        self._played["requests with other keys"] += 1
        if draw < NEW_SHARE:
            return _changing_key(number, self._changes)
        if draw < NEW_SHARE + FORMER_SHARE:
            return _changing_key(number, rng.randint(1, self._changes))
        return rng.choice(("", f"never-{number}"))


def _lasting_key(number):
    return f"lasting-{number}-k8nbk"


def _changing_key(number, change):
    return f"changing-{number}-{change}-k8nbk"
