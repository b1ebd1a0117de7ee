"""Log events of decisions under load: speeds of targets, admission, moved streams."""

from hibiscusspar.events import declare

__all__ = [
    "ACCOUNT_SHARES",
    "ADMISSION_LEVEL",
    "CALL_TIMES",
    "OTHER_WEIGHTS",
    "RELIEF_BEGUN",
    "RELIEF_ENDED",
    "SLOW_PERIOD",
    "SPEEDS_SOURCE",
    "STREAM_MOVED",
    "STREAM_MOVE_BEGUN",
    "STREAM_NOT_MOVED",
    "TARGET_SPEED",
]

TARGET_SPEED = declare(
    664,
    "node.target_speed",
    (
        "target",
        "born",
        "factor",
        "before",
        "step_s",
        "usual_s",
        "samples",
        "age_s",
        "source",
    ),
    "The factor of a target on the usual times has changed by half or more since the "
    "last line about it: `step_s` against `usual_s`, the median of its service, from "
    "`samples` gaps, the newest `age_s` old. `source` is `reports` at the coordinator.",
)
SPEEDS_SOURCE = declare(
    665,
    "node.speeds_source",
    ("source", "view_age_s", "factors"),
    "Decisions use the speeds of targets from `views`, or from `own samples` because "
    "no view has arrived lately; `factors` targets aren't at the usual speed.",
)
SLOW_PERIOD = declare(
    666,
    "node.slow_period",
    ("target", "born", "factor", "before", "step_s"),
    "This node saw a target's factor change by half; at most two lines a second.",
)
ADMISSION_LEVEL = declare(
    670,
    "node.admission_level",
    (
        "service",
        "shares",
        "asked_per_s",
        "capacity_per_s",
        "missing",
        "room_per_s",
        "age_s",
    ),
    "This coordinator has all nodes admit these shares of the requests to a service, "
    "by priority; null if the pressure has ended. Changes of less than 0.1 aren't "
    "logged. `missing` counts the prompt tokens that were refused in the last second "
    "or wait for room, `room_per_s` those that returning callers may bring.",
)
ACCOUNT_SHARES = declare(
    673,
    "node.account_shares",
    ("service", "account_shares", "asked_refused", "age_s"),
    "This coordinator has all nodes admit these shares of the requests of accounts "
    "that ask for more than their part of a service; empty if none is limited now. "
    "Changes of less than 0.1 aren't logged, nor more than one line a second. "
    "`asked_refused` holds the prompt tokens of the last second by limited account: "
    "asked for, and refused for lack of room.",
)
CALL_TIMES = declare(
    674,
    "node.call_times",
    ("target", "mean_s", "failure_share", "before", "age_s"),
    "The share of failures of a target of a plain service, as this coordinator tells "
    "all nodes, has changed by 0.1 or more since the last line about it (`before`); "
    "`mean_s` is the time of a call there without a wait. At most 8 lines a second.",
)
STREAM_MOVE_BEGUN = declare(
    690,
    "call.move_begun",
    (
        "request",
        "source",
        "events",
        "destination",
        "reason",
        "since_s",
        "model_version",
        "listed",
        "versions",
    ),
    "The state of a stream's run is being copied, because its target leaves: `reason` "
    "is `draining`, `evacuated`, `gone` or `said`, known for `since_s`; or because its "
    "target is `slow`, or the stream would be too `late` there. `model_version` is the "
    "version of the model that the source's answer stated, `listed` that of source and "
    "destination in the directory, null if not known; `versions` are those of their "
    "copies of the adapter, 0 if not known, or of the model if none is named.",
)
STREAM_MOVED = declare(
    691,
    "call.moved",
    (
        "request",
        "source",
        "events",
        "destination",
        "pause_s",
        "model_version",
        "before",
    ),
    "A moved stream has its first event from another target, or from the "
    "same one if the run went back; `pause_s` after the last event. `model_version` is "
    "the version of the model that its answer states, `before` that of the answer "
    "which made the state.",
)
STREAM_NOT_MOVED = declare(
    692,
    "call.not_moved",
    ("request", "source", "events", "reason"),
    "A stream stays at a target that leaves or is slow, or has stopped there and could "
    "not be continued from its state; 633 and 634 tell what followed.",
)
OTHER_WEIGHTS = declare(
    695,
    "call.other_weights",
    (
        "request",
        "source",
        "events",
        "destination",
        "model_version",
        "adapter_version",
        "listed",
    ),
    "A stream doesn't move to this target, which reports other weights than those that "
    "made its state: `model_version`, and `adapter_version` unless null. `listed` are "
    "the versions of the model and the adapter there that the node knew, 0 for any.",
)
RELIEF_BEGUN = declare(
    693,
    "node.relief_begun",
    ("target", "factor", "lasting", "running", "reason"),
    "This VM begins to move streams of a slow target: its newest factor, the least of "
    "the last second, and the requests that all VMs run there. `reason` is `slow`, or "
    "`late` if only streams that would end too near to their deadlines move.",
)
RELIEF_ENDED = declare(
    694,
    "node.relief_ended",
    ("target", "factor", "chosen", "seconds"),
    "This VM moves no more streams of a slow target, after `chosen` streams; their "
    "moves have lines of their own. The least factor is 1 if it isn't known any more.",
)
