"""Catalogue of numbered log events.

Each topic package declares its events in a module named ``events``. Every number is
used only once. ``docs/EVENTS.md`` is generated from the catalogue.

=========  ==============================
Numbers    Topic
=========  ==============================
100-199    process and caller interface
200-299    client accounts, keys, limits
300-399    placement and routing
400-499    request life cycle
500-599    membership, roles, configuration
=========  ==============================
"""

from typing import NamedTuple

__all__ = ["EventKind", "catalogue", "declare"]


class EventKind(NamedTuple):
    """One kind of log event."""

    number: int
    name: str
    fields: tuple[str, ...]
    meaning: str


_CATALOGUE: dict[int, EventKind] = {}


def declare(number, name, fields, meaning):
    """Add a kind of event to the catalogue.

    Parameters
    ----------
    number : int
        Number of the event, unique across all packages.
    name : str
        Dotted name, ``topic.what_happened``.
    fields : sequence of str
        Names of the fields that a line of this kind may have.
    meaning : str
        Description for operators, in one sentence.

    Returns
    -------
    EventKind

    Raises
    ------
    ValueError
        If the number or the name is already taken.
    """
    taken_names = {kind.name for kind in _CATALOGUE.values()}
    if number in _CATALOGUE or name in taken_names:
        raise ValueError(f"event {number} {name!r} is declared twice")
    kind = EventKind(number, name, tuple(fields), meaning)
    _CATALOGUE[number] = kind
    return kind


def catalogue():
    """Return all declared kinds of event, ordered by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]
