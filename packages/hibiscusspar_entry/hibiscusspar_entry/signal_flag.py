"""Flags that signal handlers set."""

from contextlib import suppress
from queue import Empty, SimpleQueue

__all__ = ["SignalFlag"]


class SignalFlag:
    """Flag that a signal handler sets and the main thread reads.

    The methods of ``threading.Event`` hold a lock. A handler that interrupts one of
    them in the main thread would wait for that lock for ever.
    """

    def __init__(self):
        self._is_set = False
        # Its put may interrupt any call of the same thread.
        self._wakeups = SimpleQueue()

    def is_set(self):
        """Return whether the flag is set."""
        return self._is_set

    def set(self, *_):
        """Set the flag; may be installed as a signal handler."""
        if not self._is_set:
            self._is_set = True
            self._wakeups.put(None)

    def clear(self):
        """Clear the flag."""
        with suppress(Empty):
            self._wakeups.get_nowait()
        self._is_set = False

    def wait(self, timeout_s=None):
        """Wait until the flag is set; return whether it is.

        Parameters
        ----------
        timeout_s : float, optional
            Longest wait in seconds, by default no limit.
        """
        if not self._is_set:
            with suppress(Empty):
                self._wakeups.get(timeout=timeout_s)
        return self._is_set
