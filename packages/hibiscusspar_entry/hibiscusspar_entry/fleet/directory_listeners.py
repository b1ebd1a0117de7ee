"""Distribution of the directory of targets to the components of a node."""

from hibiscusspar.fleet.targets import is_same_directory

__all__ = ["DirectoryListeners"]


class DirectoryListeners:
    """Listeners to the directory, which is published with each view.

    Most views relay the same rows as the last one.

    Parameters
    ----------
    every_time : callable
        Called each time with all rows by target and the evacuated zones, as its
        components compare them with state of their own.
    if_changed : callable
        Called afterwards with the same, unless each row is the same object as before
        and the zones are the same.
    otherwise : callable
        Called without arguments if ``if_changed`` isn't.
    """

    def __init__(self, every_time, if_changed, otherwise):
        self._every_time = every_time
        self._if_changed = if_changed
        self._otherwise = otherwise
        self._known = None

    def __call__(self, rows, evacuated=frozenset()):
        """Pass on all rows by target, and the evacuated zones."""
        known, self._known = self._known, (rows, evacuated)
        self._every_time(rows, evacuated)
        if (
            known is not None
            and known[1] == evacuated
            and is_same_directory(known[0], rows)
        ):
            self._otherwise()
        else:
            self._if_changed(rows, evacuated)
