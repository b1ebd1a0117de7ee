"""Background work and the logging of its failures."""

from concurrent.futures import ThreadPoolExecutor
from time import sleep

from hibiscusspar.errors import StepError
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import BACKGROUND_FAILED

__all__ = ["BackgroundPool", "DelayedCalls", "log_failure", "log_server_error"]

# Longest logged part of an error's text; the last lines of a traceback tell most.
_MAX_ERROR_CHARS = 1000


def log_failure(task, error):
    """Log that a step of background work failed; the work continues.

    Parameters
    ----------
    task : str
    error : Exception
    """
    reason = str(error) if isinstance(error, StepError) else repr(error)
    write_records([(BACKGROUND_FAILED, {"task": task, "reason": reason})])


def log_server_error(text):
    """Log an error of a connection to a server of this node.

    Parameters
    ----------
    text : str
    """
    reason = text[-_MAX_ERROR_CHARS:]
    write_records([(BACKGROUND_FAILED, {"task": "server", "reason": reason})])


class BackgroundPool:
    """Threads for background work, whose errors are logged.

    Parameters
    ----------
    task : str
        Name of the work in the log.
    threads : int
        Largest number of threads.
    """

    def __init__(self, task, threads):
        self._task = task
        self._pool = ThreadPoolExecutor(threads)

    def submit(self, function, *arguments):
        """Call a function in the background, later while no thread can be started."""
        try:
            self._pool.submit(self._run, function, arguments)
        except (RuntimeError, MemoryError) as error:
            # The pool has queued the call before it tried to start a thread.
            log_failure(self._task, error)

    def close(self):
        """Drop the calls that wait."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self, function, arguments):
        try:
            function(*arguments)
        except Exception as error:  # noqa: BLE001
            log_failure(self._task, error)


class DelayedCalls:
    """Calls of functions after a delay, by a few threads.

    Parameters
    ----------
    task : str
        Name of the work in the log.
    threads : int, optional
    """

    def __init__(self, task, threads=2):
        self._pool = BackgroundPool(task, threads)

    def __call__(self, delay_s, function):
        """Call a function after a delay in seconds, or later if many calls wait."""
        self._pool.submit(_call_after, delay_s, function)

    def close(self):
        """Drop the calls that wait."""
        self._pool.close()


def _call_after(delay_s, function):
    sleep(delay_s)
    function()
