"""Dict that is made when it is first read."""

__all__ = ["DeferredDict"]


class DeferredDict:
    """Result of a function, for readers that seldom need it.

    Parameters
    ----------
    make : callable
        Returns the dict.
    *arguments : object
        Arguments of the function.
    """

    def __init__(self, make, *arguments):
        self._make = make
        self._arguments = arguments
        self._content = None

    def get(self, key, default=None):
        """Return the value of a key, or the default."""
        if self._content is None:
            self._content = self._make(*self._arguments)
        return self._content.get(key, default)
