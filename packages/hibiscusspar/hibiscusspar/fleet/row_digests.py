"""Digests of the rows of the directory, by which copies of it can be compared."""

from msgspec.json import encode as to_json
from xxhash import xxh32_digest

__all__ = ["join_digests", "row_digest", "split_digests"]

_DIGEST_BYTES = 4


def row_digest(row):
    """Return the digest of a row.

    Parameters
    ----------
    row : TargetRow

    Returns
    -------
    bytes
    """
    return xxh32_digest(to_json(row, order="deterministic"))


def join_digests(digests):
    """Return digests as one sequence of bytes."""
    return b"".join(digests)


def split_digests(joined):
    """Return the list of digests that were joined."""
    return [
        joined[start : start + _DIGEST_BYTES]
        for start in range(0, len(joined), _DIGEST_BYTES)
    ]
