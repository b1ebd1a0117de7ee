"""Messages between VMs about members and roles."""

from typing import NamedTuple

__all__ = [
    "Beat",
    "Gossip",
    "MESSAGES",
    "RoleRow",
    "RoleRows",
    "RoleVersions",
    "VmEntry",
    "VmRows",
    "ZoneVersion",
]


class Beat(NamedTuple):
    """The latest that is known of a VM's process.

    ``count`` grows while the process runs, ``incarnation`` with each restart;
    ``revision`` is that of the configuration it applies.
    """

    vm: str
    incarnation: int
    count: int
    revision: int


class VmEntry(NamedTuple):
    """One VM; ``state`` is ``"live"`` or ``"leaving"``."""

    vm: str
    zone: str
    address: str
    state: str


class Gossip(NamedTuple):
    """One round of gossip.

    ``root`` is the content name of the root of the sender's configuration, and
    ``age_s`` the seconds since the sender knew it to be the newest.
    ``list_version`` is that of the platform's list the sender has.
    ``unlisted`` holds VMs that the list doesn't show yet.
    """

    zone: str
    address: str
    revision: int
    root: str
    age_s: float
    list_version: int
    reply: bool
    beats: tuple[Beat, ...]
    unlisted: tuple[VmEntry, ...]


class VmRows(NamedTuple):
    """The platform's list of VMs at a version."""

    version: int
    rows: tuple[VmEntry, ...]


class ZoneVersion(NamedTuple):
    """The version of a zone's roles that the sender knows."""

    zone: str
    version: int


class RoleVersions(NamedTuple):
    """The versions of the roles of all zones that the sender knows."""

    zones: tuple[ZoneVersion, ...]


class RoleRow(NamedTuple):
    """A role, its holder and its number.

    ``seen`` is the version of the platform's list that showed the holder.
    """

    role: str
    holder: str
    number: int
    seen: int


class RoleRows(NamedTuple):
    """All roles of a zone at a version of its object."""

    zone: str
    version: int
    rows: tuple[RoleRow, ...]


MESSAGES = (Gossip, VmRows, RoleVersions, RoleRows)
