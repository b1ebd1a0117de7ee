"""Settings of the data path of a node."""

from typing import NamedTuple

__all__ = ["ForwardPolicy"]


class ForwardPolicy(NamedTuple):
    """Settings of the data path; times in seconds.

    ``wait_factor`` and ``plain_wait_factor`` are the longest wait for a target, as a
    multiple of the route's latency objective, of a request to an engine and of a plain
    one. ``unsafe_idle_s`` is the longest idle time of a connection that carries a
    request which can't be repeated, ``safe_idle_s`` that for other requests.

    ``draining_retry_s`` and ``failed_retry_s`` are sent as ``Retry-After`` by a node
    that is stopping and after attempts that did not run.

    No request is accepted later than ``accept_s`` after the start of a graceful stop:
    the platform sends none by then, and a late one could not be completed. The time
    exceeds two failed readiness probes; the rest of the platform's three seconds is
    kept in reserve.
    """

    wait_factor: float = 1.5
    plain_wait_factor: float = 0.6
    unsafe_idle_s: float = 2.0
    safe_idle_s: float = 10.0
    draining_retry_s: float = 0.05
    failed_retry_s: float = 0.3
    accept_s: float = 2.6
