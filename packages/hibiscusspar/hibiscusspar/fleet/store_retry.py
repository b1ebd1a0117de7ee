"""Pauses between a node's attempts to reach the platform's store.

While the store is down or rejects some nodes, these know from the coordinator's views
what they need, and learn nothing by frequent attempts. All nodes together make a
limited number of attempts a second, so that one of them notices the end of an outage as
soon in a large fleet as in a small one.
"""

from typing import NamedTuple

__all__ = ["StoreRetryPolicy", "retry_pause_s"]


class StoreRetryPolicy(NamedTuple):
    """Settings of the pauses; times in seconds.

    The pause doubles from ``first_s`` with each failure in a row, up to that with which
    all nodes together make ``fleet_attempts_s`` attempts a second, at most ``max_s``.
    """

    first_s: float = 0.15
    fleet_attempts_s: float = 40.0
    max_s: float = 3.0


def retry_pause_s(failures, nodes, fraction, policy=None):
    """Return the seconds until a node's next attempt to reach the store.

    Parameters
    ----------
    failures : int
        Failed calls in a row, at least 1.
    nodes : int
        Size of the fleet.
    fraction : float
        Random number, uniform in [0, 1).
    policy : StoreRetryPolicy, optional

    Returns
    -------
    float
        Between half and one and a half times the mean pause.
    """
    policy = policy or StoreRetryPolicy()
    longest_s = min(policy.max_s, max(policy.first_s, nodes / policy.fleet_attempts_s))
    # The exponent is bounded as the pause is, and so that long outages don't overflow.
    mean_s = min(longest_s, policy.first_s * 2.0 ** min(failures - 1, 16))
    return mean_s * (0.5 + fraction)
