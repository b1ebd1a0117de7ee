"""Selection of the entries that a view carries, as a view has no room for all."""

__all__ = ["EntryRotation"]

# Number of views that carry an entry after a change.
_CHANGE_REPEATS = 3


class EntryRotation:
    """Selection of changed, requested and, in rotation, some other entries.

    A changed entry is part of several views, because datagrams may be lost. That all of
    them arrive is not certain: who relies on an entry must compare it and request it.

    Parameters
    ----------
    max_entries : int, optional
        Most entries of a view, of which changed ones come first; the others wait for
        the next views. Unlimited by default.
    """

    def __init__(self, max_entries=None):
        self._max_entries = max_entries
        self._last_states = {}
        self._remaining_sends = {}

    def assume_sent(self, states):
        """Take the current states of entries as sent, so that only changes are due."""
        self._last_states = dict(states)
        self._remaining_sends = {}

    def request(self, names):
        """Send the named entries in the next view."""
        for name in names:
            self._remaining_sends.setdefault(name, 1)

    def due(self, states, number=0, rotated_count=0):
        """Return the names of the entries to send in a view.

        Parameters
        ----------
        states : dict of str to object
            All entries by name.
        number : int, optional
            Number of the view.
        rotated_count : int, optional
            Number of entries to send in rotation, in addition to the changed ones.
        """
        names = sorted(states) if rotated_count else []
        for offset in range(min(rotated_count, len(names))):
            self.request([names[(number * rotated_count + offset) % len(names)]])
        # Most views follow no change, and dicts of equal states compare quickly.
        if states != self._last_states:
            for name, state in states.items():
                if self._last_states.get(name) != state:
                    self._remaining_sends[name] = _CHANGE_REPEATS
            self._last_states = dict(states)
        remaining = {
            name: count
            for name, count in self._remaining_sends.items()
            if name in states
        }
        due = sorted(remaining, key=remaining.get, reverse=True)[: self._max_entries]
        for name in due:
            remaining[name] -= 1
        self._remaining_sends = {name: n for name, n in remaining.items() if n}
        return due
