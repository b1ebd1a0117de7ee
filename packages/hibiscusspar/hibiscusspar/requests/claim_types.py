"""Settings of claims and the possible verdicts on a claim."""

from typing import NamedTuple

__all__ = ["Away", "ClaimPolicy", "Earlier", "Mismatch", "Won"]


class ClaimPolicy(NamedTuple):
    """Settings of claims; times are in seconds.

    A shard is written at most every ``commit_interval_s``. The final change of a
    claim, its outcome or release, is written along with new claims or after
    ``final_interval_s``. A finished claim is kept for at least ``keep_s``. After a
    failed platform call, claims are refused for ``unreachable_retry_s``.
    ``max_entries`` keeps a shard within the maximum size of a platform value.
    """

    shards: int = 4
    commit_interval_s: float = 0.1
    final_interval_s: float = 1.0
    keep_s: float = 900.0
    max_entries: int = 5000
    unreachable_retry_s: float = 2.0


class Won(NamedTuple):
    """The claim is stored in the platform; the request may be sent once."""


class Earlier(NamedTuple):
    """The key is already claimed; ``state`` and ``status`` are those of that claim."""

    state: str
    status: int


class Mismatch(NamedTuple):
    """The key is already claimed for another body."""


class Away(NamedTuple):
    """The claim could not be stored in time; the request was not run."""

    retry_after_s: float
