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
    """Heartbeat of a VM's process.

    ``count`` grows while the process runs, ``incarnation`` with each restart;
    ``revision`` is that of the configuration the VM applies.
    """

    vm: str
    incarnation: int
    count: int
    revision: int


class VmEntry(NamedTuple):
    """One VM of a list; ``state`` is ``"live"`` or ``"leaving"``."""

    vm: str
    zone: str
    address: str
    state: str


class Gossip(NamedTuple):
    """Message of one round of gossip.

    ``root`` is the content name of the root of the sender's configuration, and
    ``age_s`` the seconds since the sender last knew it to be the newest.
    ``list_version`` is the version of the sender's copy of the platform's list of
    VMs. ``unlisted`` holds VMs that the list doesn't show yet.
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
    """Newest version of a zone's roles that the sender knows."""

    zone: str
    version: int


class RoleVersions(NamedTuple):
    """Newest versions of the roles of all zones that the sender knows."""

    zones: tuple[ZoneVersion, ...]


class RoleRow(NamedTuple):
    """A role, its holder and its fencing number.

    ``seen`` is the version of the platform's list of VMs that showed the holder.
    """

    role: str
    holder: str
    number: int
    seen: int


class RoleRows(NamedTuple):
    """All roles of a zone at one version of the zone's platform object."""

    zone: str
    version: int
    rows: tuple[RoleRow, ...]


MESSAGES = (Gossip, VmRows, RoleVersions, RoleRows)
