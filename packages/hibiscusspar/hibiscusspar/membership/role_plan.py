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

__all__ = ["PlanInput", "RoleChanges", "is_assignable", "plan"]


class PlanInput(NamedTuple):
    """Input to the planning of a change of a zone's roles.

    Parameters
    ----------
    vm : str
        VM that plans.
    required : frozenset of str
        Roles that must have a holder.
    fenced : frozenset of str
        Roles among them whose target checks fencing numbers.
    presumed_failed : frozenset of str
        VMs that were silent for so long that their fenced roles may be reassigned.
    releasing : dict of str to int
        Roles that this VM releases, with their fencing numbers.
    resuming : dict of str to int
        Roles that this VM resumes under a new fencing number, with the old one.
    assigning : bool
        Whether this VM assigns roles that have no holder.
    listed : frozenset of str
        VMs in the platform's list at ``list_version``.
    eligible : tuple of str
        VMs among them that may be assigned roles.
    list_version : int
    """

    vm: str
    required: frozenset[str]
    fenced: frozenset[str]
    presumed_failed: frozenset[str]
    releasing: dict[str, int]
    resuming: dict[str, int]
    assigning: bool
    listed: frozenset[str]
    eligible: tuple[str, ...]
    list_version: int


class RoleChanges(NamedTuple):
    """Entries after the planned changes, the counter, and the changed roles."""

    entries: dict[str, RoleEntry]
    counter: int
    changed: tuple[str, ...]


def is_assignable(name, entry, inputs):
    """Return whether a role may be assigned to another VM."""
    if entry is None or not entry.holder:
        return True
    gone = entry.holder not in inputs.listed
    if gone and inputs.list_version > entry.seen:
        return True
    return name in inputs.fenced and entry.holder in inputs.presumed_failed


def plan(entries, counter, inputs):
    """Plan the changes of a zone's roles.

    Parameters
    ----------
    entries : dict of str to RoleEntry
        Entries as just read from the platform.
    counter : int
        Highest fencing number assigned so far in the zone.
    inputs : PlanInput

    Returns
    -------
    RoleChanges
    """
    updated = dict(entries)
    for name, entry in entries.items():
        if entry.holder != inputs.vm:
            continue
        if inputs.releasing.get(name) == entry.number:
            counter += 1
            updated[name] = _released_entry(name, counter, inputs)
        elif inputs.resuming.get(name) == entry.number:
            counter += 1
            updated[name] = entry._replace(number=counter)
    if inputs.assigning and inputs.eligible:
        counter = _assign(updated, counter, inputs)
    changed = [n for n in updated.keys() | entries if updated.get(n) != entries.get(n)]
    return RoleChanges(updated, counter, tuple(sorted(changed)))


def _released_entry(name, number, inputs):
    others = [vm for vm in inputs.eligible if vm != inputs.vm]
    successor = first(name, others) if name in inputs.required else ""
    return RoleEntry(successor, number, inputs.list_version if successor else 0)


def _assign(updated, counter, inputs):
    for name in sorted(inputs.required):
        if is_assignable(name, updated.get(name), inputs):
            counter += 1
            holder = first(name, inputs.eligible)
            updated[name] = RoleEntry(holder, counter, inputs.list_version)
    for name in [n for n in updated if n not in inputs.required]:
        if inputs.required and is_assignable(name, updated[name], inputs):
            del updated[name]
    return counter
