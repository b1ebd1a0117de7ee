"""Settings of claims and the verdicts on them."""

from typing import NamedTuple

__all__ = ["Away", "ClaimPolicy", "Earlier", "Mismatch", "Won"]


class ClaimPolicy(NamedTuple):
    """Settings of claims; times are in seconds.

    Claims of one shard are committed at most every ``commit_interval_s``, ends of
    requests after ``end_interval_s``. A finished claim is kept for at least
    ``keep_s``. ``max_entries`` bounds a shard to the size of a platform value.
    """

    shards: int = 4
    commit_interval_s: float = 0.1
    end_interval_s: float = 1.0
    keep_s: float = 900.0
    max_entries: int = 5000
    away_retry_s: float = 2.0


class Won(NamedTuple):
    """The claim is in the platform; the request may be sent once."""


class Earlier(NamedTuple):
    """The key was claimed before; ``state`` and ``status`` tell how that ended."""

    state: str
    status: int


class Mismatch(NamedTuple):
    """The key was claimed before for another body."""


class Away(NamedTuple):
    """The claim could not be made in time; the request was not run."""

    retry_after_s: float
