"""Callable that is set after it has been handed out."""

__all__ = ["DeferredCallable"]


class DeferredCallable:
    """Callable that does nothing until the function to call is set.

    The channel needs its receiver before the node that receives can be built.
    """

    def __init__(self):
        self.function = None

    def __call__(self, *arguments):
        """Call the function if it is set."""
        if self.function is not None:
            self.function(*arguments)
