"""Log events of client accounts, keys, limits and queues."""

from hibiscusspar.events import declare

__all__ = [
    "ADMITTED",
    "HOME_ENDED",
    "HOME_INHERITED",
    "HOME_STARTED",
    "KEY_REFUSED",
    "LEASE_ADOPTED",
    "LEASE_GRANTED",
    "LEASE_LAPSED",
    "LEASE_TAKEN",
    "LOAN_GRANTED",
    "LOAN_TAKEN",
    "PART_CHANGED",
    "QUEUE_REFUSED",
    "STREAM_ENDED",
    "TOKENS_REFUSED",
]

KEY_REFUSED = declare(
    200,
    "key.refused",
    ("reason", "key_id", "account"),
    "A request was refused because of its key or its account's permissions.",
)
STREAM_ENDED = declare(
    201,
    "key.stream_ended",
    ("account", "request"),
    "A running request was ended because its key was withdrawn.",
)
QUEUE_REFUSED = declare(
    202,
    "queue.refused",
    ("account", "request", "reason", "retry_after_s"),
    "A request was not queued: its account's queue is full, or its deadline would "
    "pass before its turn.",
)
ADMITTED = declare(
    210,
    "limit.admitted",
    ("account", "reservation", "tokens"),
    "Tokens were reserved for a request.",
)
TOKENS_REFUSED = declare(
    211,
    "limit.refused",
    ("account", "tokens", "reason", "retry_after_s"),
    "This node lacked the tokens to reserve for a request.",
)
LEASE_TAKEN = declare(
    220,
    "limit.lease_taken",
    ("account", "epoch", "rate", "cap", "credit"),
    "This node received a lease on a part of its zone's limit.",
)
LEASE_LAPSED = declare(
    221,
    "limit.lease_lapsed",
    ("account", "epoch"),
    "A lease of this node ended without renewal, and its balance was dropped.",
)
LEASE_GRANTED = declare(
    222,
    "limit.lease_granted",
    ("account", "asker", "rate", "cap", "credit"),
    "This home granted a lease to a node of its zone.",
)
LEASE_ADOPTED = declare(
    223,
    "limit.lease_adopted",
    ("account", "asker", "rate", "cap"),
    "This home, new in its role, adopted a lease of its predecessor.",
)
LOAN_GRANTED = declare(
    224,
    "limit.loan_granted",
    ("account", "asker", "zone", "rate", "cap", "credit"),
    "This home lent a part of its zone's limit to the home of another zone.",
)
LOAN_TAKEN = declare(
    225,
    "limit.loan_taken",
    ("account", "zone", "rate", "cap", "credit"),
    "This home borrowed a part of another zone's limit.",
)
HOME_STARTED = declare(
    230,
    "limit.home_started",
    ("account", "epoch", "recovery_s"),
    "This VM became the home of an account's limit, with an empty balance.",
)
HOME_ENDED = declare(
    231,
    "limit.home_ended",
    ("account", "epoch"),
    "This VM is no longer the home of an account's limit.",
)
PART_CHANGED = declare(
    232,
    "limit.part_changed",
    ("account", "rate", "cap", "revision"),
    "The zone's recorded part of an account's limit changed.",
)
HOME_INHERITED = declare(
    233,
    "limit.home_inherited",
    ("account", "epoch", "level", "leases"),
    "This home took over the balance and the leases of its predecessor.",
)
