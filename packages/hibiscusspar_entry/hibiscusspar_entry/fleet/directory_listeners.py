"""Distribution of the directory of targets to the components of a node."""

from operator import is_

__all__ = ["DirectoryListeners"]


class DirectoryListeners:
    """Listeners to the directory, which is published with each view.

    Most views relay the same rows as the last one.

    Parameters
    ----------
    every_time : sequence of callable
        Called each time with all rows by target, as they compare them with state of
        their own.
    if_changed : sequence of callable
        Called with all rows by target, unless each row is the same object as before.
    otherwise : callable
        Called without arguments if ``if_changed`` are not.
    """

    def __init__(self, every_time, if_changed, otherwise):
        self._every_time = every_time
        self._if_changed = if_changed
        self._otherwise = otherwise
        self._rows = None

    def __call__(self, rows):
        """Hand on all rows by target."""
        known, self._rows = self._rows, rows
        if known is not None and _is_same(known, rows):
            self._otherwise()
        else:
            for listener in self._if_changed:
                listener(rows)
        for listener in self._every_time:
            listener(rows)


def _is_same(known, rows):
    return known.keys() == rows.keys() and all(map(is_, known.values(), rows.values()))
