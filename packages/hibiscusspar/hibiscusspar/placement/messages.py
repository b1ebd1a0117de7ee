"""Messages between the owner of a target and the nodes that send requests to it.

``number`` is the owner's role number and ``life`` tells apart two periods in which
the same VM owned the target; together they are the term of the owner. Levels are
absolute, so every message may be lost, repeated or overtaken.
"""

from typing import NamedTuple

__all__ = [
    "MESSAGES",
    "Digest",
    "Failed",
    "Grant",
    "Held",
    "Holdings",
    "Inquiry",
    "Missing",
    "Rows",
    "Usage",
    "Versions",
    "Want",
]


class Want(NamedTuple):
    """A node's wish for ``want`` units of concurrency, those in use included.

    ``used`` is how often the node has lately run the label, on any target.
    """

    target: str
    label: str
    number: int
    life: int
    node_life: int
    want: int
    used: float = 0.0


class Grant(NamedTuple):
    """The units that a node may use at a time; ``serial`` grows with each grant.

    It is valid only for the life ``node_life`` of the node's process.
    """

    target: str
    label: str
    number: int
    life: int
    node_life: int
    serial: int
    level: int
    incarnation: str


class Held(NamedTuple):
    """Acknowledges a grant; ``bound`` is the most the node has running under it."""

    target: str
    label: str
    number: int
    life: int
    node_life: int
    serial: int
    bound: int
    want: int


class Inquiry(NamedTuple):
    """A new owner asks for all units held on its target."""

    target: str
    owner: str
    number: int
    life: int


class Holdings(NamedTuple):
    """Answers an inquiry; ``held`` holds (label, bound) and ``node_life`` the life."""

    target: str
    number: int
    life: int
    node_life: int
    held: tuple[tuple[str, int], ...]


class Usage(NamedTuple):
    """Requests dispatched since the last report, as pairs (label, count)."""

    target: str
    counts: tuple[tuple[str, int], ...]


class Missing(NamedTuple):
    """A target of this incarnation refused an adapter that it should have."""

    target: str
    label: str
    incarnation: str


class Failed(NamedTuple):
    """A load failed; the owner tries again after ``retry_s`` seconds."""

    target: str
    label: str
    retry_s: float


class Rows(NamedTuple):
    """Residency of targets; each row is the fields of a ``residency.Row``."""

    rows: tuple[tuple, ...]


class Digest(NamedTuple):
    """Digest over the versions of all rows that a node knows."""

    digest: int


class Versions(NamedTuple):
    """Versions of all rows of a node: (target, number, life, sequence)."""

    versions: tuple[tuple[str, int, int, int], ...]


MESSAGES = (
    Want,
    Grant,
    Held,
    Inquiry,
    Holdings,
    Usage,
    Missing,
    Failed,
    Rows,
    Digest,
    Versions,
)
