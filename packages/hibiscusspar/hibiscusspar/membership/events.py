"""Log events of membership, roles and configuration, 500-599."""

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
    500, "member.joined", ("peer", "peer_zone", "source"), "A VM was discovered."
)
MEMBER_LEFT = declare(
    501,
    "member.left",
    ("peer", "reason"),
    "A VM left the platform's list, or an unlisted VM stopped sending heartbeats.",
)
MEMBER_SUSPECTED = declare(
    502,
    "member.suspected",
    ("peer", "silent_s"),
    "No heartbeat of a VM arrived for too long; routing avoids it.",
)
MEMBER_TRUSTED = declare(
    503, "member.trusted", ("peer",), "A heartbeat of a suspected VM arrived again."
)
MEMBER_RESTARTED = declare(
    504, "member.restarted", ("peer", "incarnation"), "The process of a VM restarted."
)
LIST_ADOPTED = declare(
    505,
    "member.list_adopted",
    ("version", "vms", "source"),
    "A newer list of VMs was received from the platform or a peer.",
)
WATCHER_CHANGED = declare(
    506,
    "member.watcher_changed",
    ("watching",),
    "This VM started or stopped watching the platform for its zone.",
)
ROLE_GAINED = declare(
    520, "role.gained", ("role", "number"), "This VM became the holder of a role."
)
ROLE_LOST = declare(
    521, "role.lost", ("role", "holder"), "This VM no longer holds a role."
)
ROLE_RELEASED = declare(
    522,
    "role.released",
    ("role", "number", "successor"),
    "This VM stopped acting in a role in order to hand it over.",
)
ROLE_WRITE = declare(
    523,
    "role.write",
    ("role_zone", "outcome", "changes", "version"),
    "The outcome of a write of a zone's roles to the platform.",
)
CONFIG_APPLIED = declare(
    540,
    "config.applied",
    ("revision", "source", "chunks"),
    "This VM applied a configuration.",
)
CONFIG_FETCH_FAILED = declare(
    541,
    "config.fetch_failed",
    ("revision", "source", "reason"),
    "A configuration could not be fetched; the fetch is retried.",
)
CONFIG_BEHIND = declare(
    542,
    "config.behind",
    ("revision", "offered"),
    "A configuration older than the current one was offered and ignored.",
)
