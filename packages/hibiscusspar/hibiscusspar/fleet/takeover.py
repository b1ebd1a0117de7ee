"""Delays before a process polls or takes the lease of a duty that may be free.

The delays prefer a large VM of the duty's zone that holds no duty yet and whose
process started recently, because a rolling restart stops the older processes next.
"""

from typing import NamedTuple

from hibiscusspar.fleet.fanout import DIRECT_NODES

__all__ = ["Applicant", "TurnPolicy", "poll_delay_s", "takeover_delay_s"]


class TurnPolicy(NamedTuple):
    """Settings of the delays; times in seconds.

    An applicant waits ``small_s`` on a small VM, ``busy_s`` if it holds a duty,
    ``away_s`` in another zone than the duty's, and ``age_share`` of its age up to
    ``old_s``. Before it polls a lease, it waits ``fleet_turns`` times its jitter per
    ``DIRECT_NODES`` nodes beyond the first. A VM is small below ``cores`` or
    ``link_mbps``: the coordinator of a hundred nodes takes half a core and sends and
    receives some Mbit/s.
    """

    small_s: float = 0.5
    busy_s: float = 0.6
    away_s: float = 1.0
    age_share: float = 0.01
    old_s: float = 0.4
    fleet_turns: float = 2.0
    cores: float = 1.0
    link_mbps: float = 50.0


class Applicant(NamedTuple):
    """A process that could take a duty.

    ``jitter_s`` separates otherwise equal applicants, ``age_s`` is the time since the
    start of the process.
    """

    jitter_s: float
    age_s: float
    cores: float
    link_mbps: float
    has_duty: bool = False
    in_other_zone: bool = False


def poll_delay_s(applicant, nodes, policy=None):
    """Return the seconds that an applicant waits before it polls a silent duty's lease.

    Hundreds of nodes miss the same holder at the same moment, and each one that polls
    its lease calls the store several times a second. The delays let a few poll first.

    Parameters
    ----------
    applicant : Applicant
    nodes : int
    policy : TurnPolicy, optional
    """
    policy = policy or TurnPolicy()
    groups = max(0.0, nodes / DIRECT_NODES - 1.0)
    delay_s = applicant.jitter_s * policy.fleet_turns * groups
    return delay_s + (policy.away_s if applicant.in_other_zone and groups else 0.0)


def takeover_delay_s(applicant, policy=None):
    """Return the seconds that an applicant waits before it takes a free lease.

    Parameters
    ----------
    applicant : Applicant
    policy : TurnPolicy, optional
    """
    policy = policy or TurnPolicy()
    is_small = applicant.cores < policy.cores or applicant.link_mbps < policy.link_mbps
    wait_s = applicant.jitter_s + min(policy.old_s, applicant.age_s * policy.age_share)
    wait_s += policy.small_s if is_small else 0.0
    wait_s += policy.busy_s if applicant.has_duty else 0.0
    wait_s += policy.away_s if applicant.in_other_zone else 0.0
    return wait_s
