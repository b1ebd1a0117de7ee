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
    "A request goes to a target; names the candidates and why this one was taken.",
)
ROUTE_WAITED = declare(
    301,
    "route.waited",
    ("request", "adapter", "asked", "candidates", "reason"),
    "A request waits for a load or for granted concurrency on the target asked.",
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
    "The old version of an adapter serves until the current one is resident.",
)
OWNER_STARTED = declare(
    310,
    "owner.started",
    ("target", "number"),
    "This node owns the target from now on and asks all nodes what they hold.",
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
    "The target refused an order because a later owner has given it one.",
)
GRANT_CHANGED = declare(
    320,
    "grant.changed",
    ("target", "adapter", "node", "level", "reason"),
    "The owner changed the units of concurrency that a node may use.",
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
    "A holder left or restarted; what it had running stays resident for a time.",
)
LOAD_ORDERED = declare(
    330,
    "load.ordered",
    ("target", "adapter", "candidates", "reason"),
    "The owner orders a load; names the adapters that waited and why this one.",
)
LOAD_DONE = declare(
    331, "load.done", ("target", "adapter", "seconds"), "A load has ended well."
)
LOAD_FAILED = declare(
    332,
    "load.failed",
    ("target", "adapter", "reason", "retry_s"),
    "A load failed and is tried again after a delay.",
)
EVICT_ORDERED = declare(
    333,
    "evict.ordered",
    ("target", "adapter", "candidates", "reason"),
    "The owner orders an eviction; names the adapters that could have gone.",
)
EVICT_DONE = declare(
    334, "evict.done", ("target", "adapter"), "An adapter was evicted from a target."
)
INCARNATION_CHANGED = declare(
    335,
    "target.restarted",
    ("target", "before", "after"),
    "A target restarted, so that nothing it had loaded counts any more.",
)
ADAPTER_MISSING = declare(
    336,
    "target.adapter_missing",
    ("target", "adapter"),
    "A target refused an adapter that was believed resident.",
)
