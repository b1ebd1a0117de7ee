"""Who may get a role: the rules by which entries of a zone's object change.

A role changes hands only if its holder gave it up, if the platform's list, read
afresh, shows the holder no more after a version that did, or, for a target that
checks fencing numbers, if the holder is distrusted; each change of holder takes
the next number of the zone's counter.
"""

from typing import NamedTuple

from hibiscusspar.membership.rendezvous import first
from hibiscusspar.membership.role_table import RoleEntry

__all__ = ["RoleChanges", "Situation", "claimable", "plan"]


class Situation(NamedTuple):
    """What a node knows when it plans a change of its zone's roles.

    Parameters
    ----------
    vm : str
        The node that plans.
    wanted : frozenset of str
        Roles that somebody must hold.
    fenced : frozenset of str
        Those whose target checks fencing numbers.
    distrusted : frozenset of str
        VMs that were silent for so long that a fenced role may be taken.
    releasing : dict of str to int
        Roles that this node gives up, with its numbers.
    resuming : dict of str to int
        Roles that this node takes up again under a new number.
    claiming : bool
        Whether this node gives out roles that have no holder.
    listed : frozenset of str
        VMs in the platform's list at ``list_version``.
    fit : tuple of str
        VMs among them that may get roles.
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
    """Entries after the planned changes, the counter, and what changed."""

    entries: dict[str, RoleEntry]
    counter: int
    changed: tuple[str, ...]


def claimable(name, entry, situation):
    """Return whether a role may be given to another VM."""
    if entry is None or not entry.holder:
        return True
    gone = entry.holder not in situation.listed
    if gone and situation.list_version > entry.seen:
        return True
    return name in situation.fenced and entry.holder in situation.distrusted


def plan(entries, counter, situation):
    """Return the :class:`RoleChanges` that a situation allows and asks for.

    Parameters
    ----------
    entries : dict of str to RoleEntry
        As just read from the platform.
    counter : int
        Highest number given so far in the zone.
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
