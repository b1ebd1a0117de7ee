"""Numbered log events of placement and routing."""

from hibiscusspar.events import declare

__all__ = [
    "ADAPTER_MISSING",
    "EVICT_DONE",
    "EVICT_ORDERED",
    "GRANT_CHANGED",
    "HOLDER_ORPHANED",
    "INCARNATION_CHANGED",
    "LOAD_DONE",
    "LOAD_FAILED",
    "LOAD_ORDERED",
    "OWNER_FENCED",
    "OWNER_STARTED",
    "OWNER_STOPPED",
    "RECALLED",
    "ROUTE_DISPATCHED",
    "ROUTE_REFUSED",
    "ROUTE_WAITED",
    "VERSION_KEPT",
]

ROUTE_DISPATCHED = declare(
    300,
    "route.dispatched",
    ("request", "adapter", "target", "candidates", "reason"),
    "A request was dispatched to a target chosen from the candidates.",
)
ROUTE_WAITED = declare(
    301,
    "route.waited",
    ("request", "adapter", "asked", "candidates", "reason"),
    "A request waits for a load or a grant of concurrency on the targets asked.",
)
ROUTE_REFUSED = declare(
    302,
    "route.refused",
    ("request", "adapter", "candidates", "reason"),
    "No target can take the request.",
)
VERSION_KEPT = declare(
    303,
    "route.version_kept",
    ("adapter", "version", "instead_of"),
    "An earlier version of an adapter is used until the current one is resident.",
)
OWNER_STARTED = declare(
    310,
    "owner.started",
    ("target", "number"),
    "This node became the owner of the target and asks all nodes for their grants.",
)
OWNER_STOPPED = declare(
    311,
    "owner.stopped",
    ("target", "number"),
    "This node no longer owns the target.",
)
OWNER_FENCED = declare(
    312,
    "owner.fenced",
    ("target", "number"),
    "The target refused an order because it has accepted one of a later owner.",
)
GRANT_CHANGED = declare(
    320,
    "grant.changed",
    ("target", "adapter", "node", "level", "reason"),
    "The owner changed the units of concurrency granted to a node.",
)
RECALLED = declare(
    321,
    "grant.recalled",
    ("target", "adapter", "reason"),
    "The owner recalls all grants of an adapter in order to evict it.",
)
HOLDER_ORPHANED = declare(
    322,
    "grant.orphaned",
    ("target", "node", "hold_s"),
    "A node with grants left or restarted; its units stay reserved for hold_s.",
)
LOAD_ORDERED = declare(
    330,
    "load.ordered",
    ("target", "adapter", "candidates", "reason"),
    "The owner ordered a load; the candidates are the adapters that waited for one.",
)
LOAD_DONE = declare(
    331, "load.done", ("target", "adapter", "seconds"), "A load succeeded."
)
LOAD_FAILED = declare(
    332,
    "load.failed",
    ("target", "adapter", "reason", "retry_s"),
    "A load failed and is retried after a delay.",
)
EVICT_ORDERED = declare(
    333,
    "evict.ordered",
    ("target", "adapter", "candidates", "reason"),
    "The owner ordered an eviction; the candidates are the adapters considered.",
)
EVICT_DONE = declare(
    334, "evict.done", ("target", "adapter"), "An adapter was evicted from a target."
)
INCARNATION_CHANGED = declare(
    335,
    "target.restarted",
    ("target", "before", "after"),
    "A target restarted and lost all adapters it had loaded.",
)
ADAPTER_MISSING = declare(
    336,
    "target.adapter_missing",
    ("target", "adapter"),
    "A target refused an adapter that its owner had recorded as resident.",
)
