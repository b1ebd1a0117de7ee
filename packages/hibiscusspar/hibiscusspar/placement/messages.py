"""Messages between the owner of a target and the nodes that send requests to it.

``number`` is the owner's role number, and ``life`` distinguishes two periods in which
the same VM owned the target; together they are the term of the owner. Levels are
absolute, so any message may be lost, duplicated or reordered.
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
    """Request of a node for ``want`` units of concurrency, including those in use.

    ``used`` is the decayed count of the node's requests for the label on any target.
    """

    target: str
    label: str
    number: int
    life: int
    node_life: int
    want: int
    used: float = 0.0


class Grant(NamedTuple):
    """Number of units that a node may use at a time.

    ``serial`` grows with each grant. A grant is valid only for the run
    ``node_life`` of the node's process.
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
    """Acknowledgement of a grant.

    ``bound`` is the maximum number of units that the node may have in use under it.
    """

    target: str
    label: str
    number: int
    life: int
    node_life: int
    serial: int
    bound: int
    want: int


class Inquiry(NamedTuple):
    """Request of a new owner for the units that a node holds on its target."""

    target: str
    owner: str
    number: int
    life: int


class Holdings(NamedTuple):
    """Answer to an inquiry; ``held`` has a pair (label, bound) for each grant held."""

    target: str
    number: int
    life: int
    node_life: int
    held: tuple[tuple[str, int], ...]


class Usage(NamedTuple):
    """Numbers of requests dispatched since the last report, as (label, count)."""

    target: str
    counts: tuple[tuple[str, int], ...]


class Missing(NamedTuple):
    """Report that a target of this incarnation refused a label as not resident."""

    target: str
    label: str
    incarnation: str


class Failed(NamedTuple):
    """Report that a load failed; the owner retries it after ``retry_s`` seconds."""

    target: str
    label: str
    retry_s: float


class Rows(NamedTuple):
    """Residency of targets; each row has the fields of a ``residency.Row``."""

    rows: tuple[tuple, ...]


class Digest(NamedTuple):
    """Digest of the versions of all rows known to a node."""

    digest: int


class Versions(NamedTuple):
    """Versions of all rows known to a node: (target, number, life, sequence)."""

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
