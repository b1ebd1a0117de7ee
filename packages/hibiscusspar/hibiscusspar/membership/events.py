"""Log events of membership, roles and configuration."""

from hibiscusspar.events import declare

__all__ = [
    "CONFIG_APPLIED",
    "CONFIG_BEHIND",
    "CONFIG_FETCH_FAILED",
    "LIST_ADOPTED",
    "MEMBER_JOINED",
    "MEMBER_LEFT",
    "MEMBER_RESTARTED",
    "MEMBER_SUSPECTED",
    "MEMBER_TRUSTED",
    "ROLE_GAINED",
    "ROLE_LOST",
    "ROLE_RELEASED",
    "ROLE_WRITE",
    "WATCHER_CHANGED",
]

MEMBER_JOINED = declare(
    500, "member.joined", ("peer", "peer_zone", "source"), "A VM became known."
)
MEMBER_LEFT = declare(
    501,
    "member.left",
    ("peer", "reason"),
    "A VM is gone from the platform's list, or an unlisted one went silent.",
)
MEMBER_SUSPECTED = declare(
    502,
    "member.suspected",
    ("peer", "silent_s"),
    "Nothing was heard of a VM for too long; routing avoids it.",
)
MEMBER_TRUSTED = declare(
    503, "member.trusted", ("peer",), "A suspected VM was heard of again."
)
MEMBER_RESTARTED = declare(
    504, "member.restarted", ("peer", "incarnation"), "The process of a VM restarted."
)
LIST_ADOPTED = declare(
    505,
    "member.list_adopted",
    ("version", "vms", "source"),
    "A newer list of VMs was taken in from the platform or a peer.",
)
WATCHER_CHANGED = declare(
    506,
    "member.watcher_changed",
    ("watching",),
    "This VM began or ceased to watch the platform for its zone.",
)
ROLE_GAINED = declare(
    520, "role.gained", ("role", "number"), "This VM holds a role from now on."
)
ROLE_LOST = declare(
    521, "role.lost", ("role", "holder"), "This VM no longer holds a role."
)
ROLE_RELEASED = declare(
    522,
    "role.released",
    ("role", "number", "successor"),
    "This VM ceased to act in a role so as to hand it over.",
)
ROLE_WRITE = declare(
    523,
    "role.write",
    ("role_zone", "outcome", "changes", "version"),
    "A change of a zone's roles was sent to the platform, with its outcome.",
)
CONFIG_APPLIED = declare(
    540,
    "config.applied",
    ("revision", "source", "chunks"),
    "A configuration is in force on this VM.",
)
CONFIG_FETCH_FAILED = declare(
    541,
    "config.fetch_failed",
    ("revision", "source", "reason"),
    "A configuration could not be fetched; it is tried again.",
)
CONFIG_BEHIND = declare(
    542,
    "config.behind",
    ("revision", "offered"),
    "An older configuration was offered and not applied.",
)
