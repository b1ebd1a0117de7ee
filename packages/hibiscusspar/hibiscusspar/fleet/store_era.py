"""Fencing tokens that rise although the store has returned from an older copy.

The platform counts the eras of its store, a new one each time. The high bits of a token
hold the era in which its lease was taken, the low bits at least the revision that the
lease object had before. Within an era revisions only rise and a lease is taken on
condition of its revision, so no two holders get the same token, and a token is higher
than all those of earlier eras, whether or not the store still has them.
"""

__all__ = ["era_of", "is_outdated", "next_fence"]

# Bits of a token below the era. The tokens stay below 2**53, the largest whole number
# that all JSON decoders keep, for two million eras of four thousand million revisions.
_REVISION_BITS = 32


def era_of(fence):
    """Return the era in which a token was issued, 0 if it holds none."""
    return fence >> _REVISION_BITS


def is_outdated(fence, era):
    """Return whether a token was issued before an era of the store began."""
    return era_of(fence) < era


def next_fence(fence, era, revision):
    """Return the token of the next holder of a lease.

    Parameters
    ----------
    fence : int
        Last known token of the lease, 0 if there is none.
    era : int
        Era of the store, 0 if it doesn't tell any.
    revision : int
        Revision of the lease object as read in this era, 0 if there is none.
    """
    if not era:
        return fence + 1
    return max(fence + 1, (era << _REVISION_BITS) + revision)
