"""Wait of a node that stops for the requests it still has."""

from time import sleep

__all__ = ["wait_until_answered"]

# Checks in a row without a request: one that has just arrived is not counted yet.
_CLEAR_CHECKS = 3


def wait_until_answered(is_over, count_requests, pause_s, wait=sleep):
    """Wait until a node has answered all requests that it has read.

    Parameters
    ----------
    is_over : callable
        Returns whether the time for the stop has passed.
    count_requests : callable
        Returns the number of requests that are read, wait for a thread or run.
    pause_s : float
        Time between checks in seconds.
    wait : callable, optional
        Waits for a number of seconds.
    """
    clear = 0
    while clear < _CLEAR_CHECKS and not is_over():
        clear = 0 if count_requests() else clear + 1
        wait(pause_s)
