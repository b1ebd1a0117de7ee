"""The configuration in force and the possible outcomes of a publication."""

from typing import NamedTuple

from hibiscusspar.config.diff import Change
from hibiscusspar.config.model import Configuration
from hibiscusspar.errors import StepError

__all__ = [
    "ROOT_NAME",
    "CurrentConfiguration",
    "Publication",
    "PublishConflictError",
    "PublishUnknownError",
]

ROOT_NAME = "current"
_UPDATE_STEP = "publish.root"


class CurrentConfiguration(NamedTuple):
    """The root in force, its configuration and the version of the root object.

    ``root`` is None and ``version`` 0 if nothing was published yet.
    """

    root: dict | None
    configuration: Configuration
    version: int


class Publication(NamedTuple):
    """A publication that took effect.

    ``chunks`` is the number of chunks written, ``version`` the version of the root.
    """

    revision: int
    version: int
    write_id: str
    changes: list[Change]
    chunks: int


class PublishConflictError(StepError):
    """Another publication took effect first; this one had no effect.

    Attributes
    ----------
    revision : int
        Revision that is in force instead.
    author : str
        Author of that revision.
    changes : list of Change
        Its changes since the base of this publication, if known.
    """

    def __init__(self, revision, author, changes=()):
        reason = f"revision {revision} by {author!r} is in force instead"
        super().__init__(_UPDATE_STEP, ROOT_NAME, reason)
        self.revision = revision
        self.author = author
        self.changes = list(changes)


class PublishUnknownError(StepError):
    """The answer was lost and the root could not be read back.

    Either the old or the new revision is in force.

    Attributes
    ----------
    write_id : str
        Write id that the root's history contains if the update took effect.
    revision : int
        Revision that is in force if the update took effect.
    """

    def __init__(self, write_id, revision, reason):
        text = f"revision {revision} or the one before is in force ({reason})"
        super().__init__(_UPDATE_STEP, ROOT_NAME, text)
        self.write_id = write_id
        self.revision = revision
