"""Log events of the request lifecycle, 400-499."""

from hibiscusspar.events import declare

__all__ = [
    "BODY_QUARANTINED",
    "BODY_SUSPECTED",
    "CLAIM_DECIDED",
    "CLAIM_SHARD_CONFLICT",
    "CLAIM_SHARD_UNREACHABLE",
    "CONNECTION_SILENT",
    "QUARANTINE_EXPIRED",
    "REQUEST_ATTEMPT_FAILED",
    "REQUEST_CANCELLED",
    "REQUEST_DONE",
    "REQUEST_REJECTED",
    "REQUEST_RETRIED",
    "STREAM_RESUMED",
    "TARGET_EJECTED",
    "TARGET_PROBED",
    "TARGET_RETURNED",
]

REQUEST_DONE = declare(
    400,
    "request.done",
    ("request_id", "outcome", "phase", "attempts", "tokens"),
    "A request ended; its reservation is settled with the given number of tokens.",
)
REQUEST_ATTEMPT_FAILED = declare(
    401,
    "request.attempt_failed",
    ("request_id", "target", "cause", "may_have_run"),
    "One attempt to run a request on a target failed.",
)
REQUEST_RETRIED = declare(
    402,
    "request.retried",
    ("request_id", "cause", "attempt", "delay_s"),
    "A request is retried after a delay.",
)
REQUEST_REJECTED = declare(
    403,
    "request.rejected",
    ("request_id", "code", "ran", "retry_after_s"),
    "A request was rejected; the caller was told whether it may have run.",
)
STREAM_RESUMED = declare(
    404,
    "request.stream_resumed",
    ("request_id", "target", "offset"),
    "A stream was resumed at an offset over a new connection.",
)
REQUEST_CANCELLED = declare(
    405,
    "request.cancelled",
    ("request_id", "target"),
    "The caller disconnected, so the target was told to stop.",
)
CONNECTION_SILENT = declare(
    406,
    "request.connection_silent",
    ("request_id", "target", "phase"),
    "A connection received nothing within its timeout and was closed.",
)
TARGET_EJECTED = declare(
    420,
    "target.ejected",
    ("target", "failures", "duration_s"),
    "A target failed several times in a row and gets no new requests for a while.",
)
TARGET_PROBED = declare(
    421,
    "target.probed",
    ("target",),
    "An ejected target gets one request as a probe.",
)
TARGET_RETURNED = declare(
    422,
    "target.returned",
    ("target",),
    "An ejected target answered and gets requests again.",
)
BODY_SUSPECTED = declare(
    430,
    "body.suspected",
    ("digest", "target"),
    "A target crashed while running a request with this body.",
)
BODY_QUARANTINED = declare(
    431,
    "body.quarantined",
    ("digest", "targets", "duration_s"),
    "A body crashed two targets; requests with it are refused for a while.",
)
QUARANTINE_EXPIRED = declare(
    432,
    "body.quarantine_expired",
    ("digest",),
    "Requests with this body are accepted again.",
)
CLAIM_DECIDED = declare(
    440,
    "claim.decided",
    ("claim_id", "account", "decision"),
    "An Idempotency-Key was claimed, was already taken or could not be claimed.",
)
CLAIM_SHARD_CONFLICT = declare(
    441,
    "claim.shard_conflict",
    ("shard", "conflicts", "delay_s"),
    "Another VM changed a shard of claims first; the shard is read again.",
)
CLAIM_SHARD_UNREACHABLE = declare(
    442,
    "claim.shard_unreachable",
    ("shard", "operation", "outcome"),
    "A platform call for a shard of claims failed.",
)
