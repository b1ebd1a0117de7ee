"""Log events of the entry process and of requests."""

from hibiscusspar.events import declare

__all__ = [
    "CONFIGURATION_APPLIED",
    "DRAINING",
    "LISTENING",
    "PEER_FAILED",
    "PLATFORM_FAILED",
    "REQUEST_ENDED",
    "REQUEST_REFUSED",
    "REQUEST_REVOKED",
    "STOPPED",
    "SYSTEM_FAILED",
    "TARGET_UNREACHABLE",
]

LISTENING = declare(
    100,
    "process.listening",
    ("caller", "peer", "operator"),
    "The process listens on its three ports.",
)
DRAINING = declare(
    101, "process.draining", ("reason",), "New requests are refused; running ones end."
)
STOPPED = declare(
    102,
    "process.stopped",
    ("running",),
    "The process ends; `running` requests were cut off.",
)
CONFIGURATION_APPLIED = declare(
    103, "process.configuration", ("revision",), "A configuration came into force."
)
PEER_FAILED = declare(
    104, "process.peer_failed", ("peer", "reason"), "An exchange with a VM failed."
)
PLATFORM_FAILED = declare(
    105, "process.platform_failed", ("step", "reason"), "A platform call failed."
)
SYSTEM_FAILED = declare(
    106,
    "process.system_failed",
    ("system", "reason"),
    "A system raised an error; it runs again in the next tick.",
)
TARGET_UNREACHABLE = declare(
    107,
    "process.target_unreachable",
    ("target", "reason"),
    "A target did not answer the state poll of its owner.",
)
REQUEST_REFUSED = declare(
    110,
    "request.refused",
    ("request", "account", "code", "step", "reason", "ran"),
    "A request was refused.",
)
REQUEST_ENDED = declare(
    111,
    "request.ended",
    ("request", "account", "target", "status", "outcome", "tokens", "seconds"),
    "A request ended after its admission; `outcome` tells how.",
)
REQUEST_REVOKED = declare(
    112,
    "request.revoked",
    ("request", "account"),
    "The key of an open request was withdrawn; nothing more of its answer is sent.",
)
