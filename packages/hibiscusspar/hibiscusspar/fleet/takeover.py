"""Delays before a process polls or takes the lease of a duty that may be free.

The delays prefer a large VM of the duty's zone that holds no duty yet and whose
process started recently, because a rolling restart stops the older processes next.
"""

from typing import NamedTuple

from hibiscusspar.fleet.fanout import MAX_DIRECT_NODES

__all__ = ["Applicant", "TakeoverPolicy", "poll_delay_s", "takeover_delay_s"]


class TakeoverPolicy(NamedTuple):
    """Settings of the delays; times in seconds.

    An applicant waits ``small_vm_s`` on a small VM, ``has_duty_s`` if it holds a duty,
    ``other_zone_s`` in another zone than the duty's, and ``age_share`` of its age up to
    ``max_age_delay_s``. Before it polls a lease, it waits ``fleet_jitter`` times its
    jitter per ``MAX_DIRECT_NODES`` nodes beyond the first ones. A VM is small below
    ``min_cores`` or ``min_link_mbps``: the coordinator of a hundred nodes takes half a
    core and sends and receives some Mbit/s.
    """

    small_vm_s: float = 0.5
    has_duty_s: float = 0.6
    other_zone_s: float = 1.0
    age_share: float = 0.01
    max_age_delay_s: float = 0.4
    fleet_jitter: float = 2.0
    min_cores: float = 1.0
    min_link_mbps: float = 50.0


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

    Hundreds of nodes lose contact with the holder at the same moment, and each one
    that polls its lease calls the store several times a second. The delays let a few
    poll first.

    Parameters
    ----------
    applicant : Applicant
    nodes : int
    policy : TakeoverPolicy, optional
    """
    policy = policy or TakeoverPolicy()
    groups = max(0.0, nodes / MAX_DIRECT_NODES - 1.0)
    delay_s = applicant.jitter_s * policy.fleet_jitter * groups
    return delay_s + (
        policy.other_zone_s if applicant.in_other_zone and groups else 0.0
    )


def takeover_delay_s(applicant, policy=None):
    """Return the seconds that an applicant waits before it takes a free lease.

    Parameters
    ----------
    applicant : Applicant
    policy : TakeoverPolicy, optional
    """
    policy = policy or TakeoverPolicy()
    is_small = (
        applicant.cores < policy.min_cores or applicant.link_mbps < policy.min_link_mbps
    )
    wait_s = applicant.jitter_s + min(
        policy.max_age_delay_s, applicant.age_s * policy.age_share
    )
    wait_s += policy.small_vm_s if is_small else 0.0
    wait_s += policy.has_duty_s if applicant.has_duty else 0.0
    wait_s += policy.other_zone_s if applicant.in_other_zone else 0.0
    return wait_s
