"""What is in force, and how a publication can end."""

from typing import NamedTuple

from hibiscusspar.config.diff import Change
from hibiscusspar.config.model import Configuration
from hibiscusspar.errors import StepError

__all__ = [
    "Current",
    "PublishConflictError",
    "PublishUnknownError",
    "Published",
    "ROOT_NAME",
]

ROOT_NAME = "current"
_UPDATE = "publish.root"


class Current(NamedTuple):
    """What is in force: the root, its configuration and the root's version.

    ``root`` is None and ``version`` 0 if nothing was published yet.
    """

    root: dict | None
    configuration: Configuration
    version: int


class Published(NamedTuple):
    """A publication that took effect.

    ``chunks`` is the number of chunks written; ``version`` that of the root.
    """

    revision: int
    version: int
    write_id: str
    changes: list[Change]
    chunks: int


class PublishConflictError(StepError):
    """Another publication took effect first; nothing of this one did.

    Attributes
    ----------
    revision : int
        Revision in force.
    author : str
        Author of that revision.
    changes : list of Change
        What it changed against the base of this publication, if known.
    """

    def __init__(self, revision, author, changes=()):
        reason = f"revision {revision} by {author!r} is in force instead"
        super().__init__(_UPDATE, ROOT_NAME, reason)
        self.revision = revision
        self.author = author
        self.changes = list(changes)


class PublishUnknownError(StepError):
    """The answer was lost and could not be read back: old or new is in force.

    Attributes
    ----------
    write_id : str
        Write id to look for in the root's history.
    revision : int
        Revision that is in force if the update took effect.
    """

    def __init__(self, write_id, revision, reason):
        text = f"revision {revision} or the one before is in force ({reason})"
        super().__init__(_UPDATE, ROOT_NAME, text)
        self.write_id = write_id
        self.revision = revision
