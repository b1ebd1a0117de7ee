"""Steps of background work, each in a thread of its own."""

import threading
from time import sleep

from hibiscusspar_entry.fleet.background import log_failure

__all__ = ["PeriodicTask"]

# Time in seconds until the next step if its time can't be determined.
_FAILED_PAUSE_S = 0.1


class PeriodicTask:
    """Thread that makes a step again and again; a failed step is logged.

    Parameters
    ----------
    name : str
        Name of the work in the log.
    step : callable
    pause_s : callable
        Returns the time until the next step, in seconds.
    """

    def __init__(self, name, step, pause_s):
        self._name = name
        self._step = step
        self._pause_s = pause_s
        self._wake = threading.Event()
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread; the first step follows after a pause."""
        self._thread.start()

    def wake(self):
        """Make the next step at once."""
        self._wake.set()

    def close(self):
        """Make no further step."""
        self._closed = True
        self._wake.set()

    def _pause(self):
        try:
            self._wake.wait(self._pause_s())
        except Exception as error:  # noqa: BLE001
            log_failure(self._name, error)
            sleep(_FAILED_PAUSE_S)

    def _run(self):
        while True:
            self._pause()
            self._wake.clear()
            if self._closed:
                return
            try:
                self._step()
            except Exception as error:  # noqa: BLE001
                log_failure(self._name, error)
