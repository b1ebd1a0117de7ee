"""Compact form of the software versions of all targets, for views."""

__all__ = ["join_software", "split_software"]

# Positions are sent as one byte each.
_MAX_VERSIONS = 256


def join_software(versions):
    """Return the distinct versions, and the position of each version among them.

    Parameters
    ----------
    versions : list of str
        Version of each target, in the order of the directory.

    Returns
    -------
    tuple of (list of str, bytes)
        Versions beyond the first 255 count as unknown, the empty string.
    """
    distinct = sorted(set(versions) - {""})[: _MAX_VERSIONS - 1]
    names = ["", *distinct]
    positions = {name: position for position, name in enumerate(names)}
    return names, bytes(positions.get(version, 0) for version in versions)


def split_software(names, index):
    """Return the version of each target that :func:`join_software` has joined."""
    return [names[position] for position in index]
