"""Settings of membership gossip and of roles."""

from typing import NamedTuple

__all__ = ["GossipPolicy", "RolePolicy"]


class GossipPolicy(NamedTuple):
    """Settings of gossip; times are in seconds.

    A VM gossips every ``period_s``, with probability ``other_zone`` with a VM of
    another zone. Of the ``max_beats`` heartbeats in a message, ``own_zone_beats``
    are reserved for the own zone. A VM silent for ``suspect_s``, or
    ``suspect_other_zone_s`` in another zone, is suspected; an unlisted VM silent
    for ``forget_s`` is removed. A gap of more than ``pause_s`` between two ticks is
    a pause of this process and does not count as silence of others. The
    ``watchers`` of a zone request the list every ``list_period_s``; the other VMs
    check every ``list_check_s`` whether they have become watchers. A VM that isn't
    listed yet requests the list with a back-off that starts at ``list_retry_s``.
    """

    period_s: float = 1.0
    other_zone: float = 0.2
    max_beats: int = 64
    own_zone_beats: int = 52
    max_unlisted: int = 8
    fanout: int = 3
    expedited_rounds: int = 2
    suspect_s: float = 10.0
    suspect_other_zone_s: float = 60.0
    pause_s: float = 3.0
    forget_s: float = 300.0
    list_period_s: float = 2.0
    list_retry_s: float = 0.5
    list_check_s: float = 5.0
    watchers: int = 2


class RolePolicy(NamedTuple):
    """Settings of roles; times are in seconds.

    A VM checks its zone's roles every ``check_s``, and ``idle_s`` later after a
    read without changes; the VM that assigns roles reads them at least every
    ``poll_s``. Every ``rebalance_s`` a holder releases up to ``max_moves`` roles
    that rendezvous hashing gives to another VM; only VMs known for ``stable_s``
    take part. The fenced roles of a VM suspected for ``presume_failed_s`` are
    reassigned. Failed changes are retried with an exponential back-off from
    ``retry_s`` to ``max_retry_s``.
    """

    check_s: float = 0.5
    idle_s: float = 1.5
    poll_s: float = 10.0
    stable_s: float = 30.0
    rebalance_s: float = 5.0
    max_moves: int = 4
    presume_failed_s: float = 20.0
    retry_s: float = 0.25
    max_retry_s: float = 10.0
    call_timeout_s: float = 15.0
