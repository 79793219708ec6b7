"""Instances that get usage of quotas through a third one, as a link is cut."""

__all__ = ["UsagePaths"]

# Time for which an instance gets what it asked this one to pass on; its full reports
# repeat the request.
ASKING_S = 1.5


class UsagePaths:
    """Who asks this instance to pass on usage, and who passes on its own."""

    def __init__(self, clock, process_number):
        """Creates it.

        Args:
            clock: `Clock`.
            process_number: Number that identifies this process among its peers.
        """
        self._clock = clock
        self._process_number = process_number
        # Time of the last request of each instance to pass on the usage of others.
        self._asking = {}
        # Instance that passes on the usage of this one to each that doesn't hear it,
        # and the time of the request.
        self._passing_on = {}

    def note(self, name, usage, name_of):
        """Notes what an instance asks for.

        Args:
            name: Name of the instance.
            usage: Its `Usage`.
            name_of: Function of the number of a process that returns the name of its
                instance; None if unknown.
        """
        if self._process_number in usage.missing.values():
            self._asking[name] = self._clock.monotonic()
        self.note_helper(name, usage, name_of)

    def note_helper(self, name, usage, name_of):
        """Notes who passes on the usage of this instance to one that doesn't hear it.

        Answers for the latter go there too. See `note` for the arguments.
        """
        helper = usage.missing.get(self._process_number)
        if helper is not None:
            self._passing_on[name] = (name_of(helper), self._clock.monotonic())

    def forget(self, name):
        """Forgets the requests of an instance."""
        self._asking.pop(name, None)
        self._passing_on.pop(name, None)

    def helpers_for(self, names):
        """Returns the names of those that pass on the usage of this instance."""
        now = self._clock.monotonic()
        return {
            helper
            for name, (helper, asked_at) in self._passing_on.items()
            if name in names and helper is not None and now - asked_at <= ASKING_S
        }

    def asking_names(self):
        """Returns the names of those that this instance passes usage on to."""
        now = self._clock.monotonic()
        return {
            name
            for name, asked_at in self._asking.items()
            if now - asked_at <= ASKING_S
        }
