"""Suffixes of the recorded author that tell which commands made a revision."""

__all__ = ["edit_author", "edits_since_publish", "key_author"]

_EDIT_SUFFIX = " (edit)"
_KEYS_SUFFIX = " (keys)"


def edit_author(author):
    """Return the author to record for an edit made on the command line."""
    return author + _EDIT_SUFFIX


def key_author(author):
    """Return the author to record for a change of keys."""
    return author + _KEYS_SUFFIX


def edits_since_publish(root):
    """Return the edits made on the command line since files were last published.

    Parameters
    ----------
    root : Root or None

    Returns
    -------
    list of (int, str)
        Revision and author of each edit, newest first.
    """
    edits = []
    for revision, _, author in (root or {}).get("history", []):
        if author.endswith(_EDIT_SUFFIX):
            edits.append((revision, author))
        elif not author.endswith(_KEYS_SUFFIX):
            break
    return edits
