"""Rules by which the roles of a zone are assigned.

A role gets another holder only in one of three cases: its holder released it; a
fresh list of the platform, newer than the one that showed the holder, lacks the
holder; or the role belongs to a target that checks fencing numbers and the holder
has been silent for too long. Each change of holder takes the next fencing number
of the zone's counter.
"""

from typing import NamedTuple

from hibiscusspar.membership.rendezvous import first
from hibiscusspar.membership.role_table import RoleEntry

__all__ = ["RoleChanges", "Situation", "claimable", "plan"]


class Situation(NamedTuple):
    """Input to the planning of a change of a zone's roles.

    Parameters
    ----------
    vm : str
        VM that plans.
    wanted : frozenset of str
        Roles that must have a holder.
    fenced : frozenset of str
        Roles among them whose target checks fencing numbers.
    distrusted : frozenset of str
        VMs that were silent for so long that their fenced roles may be reassigned.
    releasing : dict of str to int
        Roles that this VM releases, with their fencing numbers.
    resuming : dict of str to int
        Roles that this VM resumes under a new fencing number, with the old one.
    claiming : bool
        Whether this VM assigns roles that have no holder.
    listed : frozenset of str
        VMs in the platform's list at ``list_version``.
    fit : tuple of str
        VMs among them that may be assigned roles.
    list_version : int
    """

    vm: str
    wanted: frozenset[str]
    fenced: frozenset[str]
    distrusted: frozenset[str]
    releasing: dict[str, int]
    resuming: dict[str, int]
    claiming: bool
    listed: frozenset[str]
    fit: tuple[str, ...]
    list_version: int


class RoleChanges(NamedTuple):
    """Entries after the planned changes, the counter, and the changed roles."""

    entries: dict[str, RoleEntry]
    counter: int
    changed: tuple[str, ...]


def claimable(name, entry, situation):
    """Return whether a role may be assigned to another VM."""
    if entry is None or not entry.holder:
        return True
    gone = entry.holder not in situation.listed
    if gone and situation.list_version > entry.seen:
        return True
    return name in situation.fenced and entry.holder in situation.distrusted


def plan(entries, counter, situation):
    """Plan the changes of a zone's roles.

    Parameters
    ----------
    entries : dict of str to RoleEntry
        Entries as just read from the platform.
    counter : int
        Highest fencing number assigned so far in the zone.
    situation : Situation

    Returns
    -------
    RoleChanges
    """
    after = dict(entries)
    for name, entry in entries.items():
        if entry.holder != situation.vm:
            continue
        if situation.releasing.get(name) == entry.number:
            counter += 1
            after[name] = _passed_on(name, counter, situation)
        elif situation.resuming.get(name) == entry.number:
            counter += 1
            after[name] = entry._replace(number=counter)
    if situation.claiming and situation.fit:
        counter = _claim(after, counter, situation)
    changed = [n for n in after.keys() | entries if after.get(n) != entries.get(n)]
    return RoleChanges(after, counter, tuple(sorted(changed)))


def _passed_on(name, number, situation):
    others = [vm for vm in situation.fit if vm != situation.vm]
    successor = first(name, others) if name in situation.wanted else ""
    return RoleEntry(successor, number, situation.list_version if successor else 0)


def _claim(after, counter, situation):
    for name in sorted(situation.wanted):
        if claimable(name, after.get(name), situation):
            counter += 1
            holder = first(name, situation.fit)
            after[name] = RoleEntry(holder, counter, situation.list_version)
    for name in [n for n in after if n not in situation.wanted]:
        if situation.wanted and claimable(name, after[name], situation):
            del after[name]
    return counter
