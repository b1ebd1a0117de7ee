"""Checks whether targets whose connections ended refuse new ones."""

import threading

__all__ = ["RefusalCheck"]


class RefusalCheck:
    """Delayed checks of targets, one of each target at a time.

    Parameters
    ----------
    refuses_connections : callable
        Returns whether a target, and not the path to it, refuses connections.
    call_later : callable
        Calls a function after a delay in seconds.
    """

    def __init__(self, refuses_connections, call_later):
        self._refuses_connections = refuses_connections
        self._call_later = call_later
        self._lock = threading.Lock()
        self._pending = set()

    def request(self, delay_s, target, on_refused):
        """Call ``on_refused`` after a delay if the target refuses connections then."""
        with self._lock:
            if target.target_id in self._pending:
                return
            self._pending.add(target.target_id)
        self._call_later(delay_s, lambda: self._check(target, on_refused))

    def _check(self, target, on_refused):
        try:
            is_refused = self._refuses_connections(target)
        finally:
            with self._lock:
                self._pending.discard(target.target_id)
        if is_refused:
            on_refused()
