"""Settings of membership gossip and of roles."""

from typing import NamedTuple

__all__ = ["GossipPolicy", "RolePolicy"]


class GossipPolicy(NamedTuple):
    """Settings of gossip; times are in seconds.

    ``other_zone`` is the probability (0 to 1) of gossip with another zone. VMs are
    suspected after ``suspect_s`` of silence (``suspect_other_zone_s`` in other zones),
    unlisted ones removed after ``forget_s``. A gap of more than ``pause_s`` between
    ticks is a pause of this process and does not count as silence of others. Watchers
    request the list every ``list_period_s``, unlisted VMs with a back-off from
    ``list_retry_s``; the others check every ``list_check_s`` whether they have become
    watchers.
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

    Roles are checked every ``check_s``, ``idle_s`` later after a read without
    changes, and read at least every ``poll_s`` by the VM that assigns them. Up to
    ``max_moves`` are moved every ``rebalance_s``, among VMs known for ``stable_s``.
    Fenced roles of VMs suspected for ``presume_failed_s`` are reassigned.
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
