"""When a target counts as silent in the middle of an answer.

A sound target may send nothing for a second or so. A silence counts only once it has
lasted longer, and only if it is the target's own: a pause of this node, or of its
links, makes all targets silent at once.
"""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

__all__ = ["SilencePolicy", "is_shared_silence", "stream_silence_s"]

_HASH_RANGE = 2**64
_SEED = 44


class SilencePolicy(NamedTuple):
    """Settings of the detection; times in seconds.

    A stream counts as silent after ``stream_s`` and up to ``spread_s`` more without an
    event (callers disconnect after two seconds), or after ``first_event_s`` before its
    first one. The spread keeps the streams of a silent target from reading their
    prompts at other targets all at once. A plain call counts as silent after
    ``plain_share`` of the time that it has left.

    A silence that all targets share is excused for ``shared_s`` at most. Targets that
    were heard within ``recent_s`` before it are compared; they share it if none was
    heard for ``quiet_s``.
    """

    stream_s: float = 1.2
    spread_s: float = 0.4
    first_event_s: float = 2.0
    plain_share: float = 0.5
    shared_s: float = 1.0
    recent_s: float = 1.0
    quiet_s: float = 1.0


def stream_silence_s(policy, request_id):
    """Return the seconds without an event after which a stream counts as silent.

    Parameters
    ----------
    policy : SilencePolicy
    request_id : str
        All nodes derive the same time from it.
    """
    fraction = xxh3_64_intdigest(request_id.encode(), seed=_SEED) / _HASH_RANGE
    return policy.stream_s + policy.spread_s * fraction


def is_shared_silence(policy, now, since, target_id, heard):
    """Return whether the other targets are silent as well.

    Parameters
    ----------
    policy : SilencePolicy
    now : float
    since : float
        Time of the last progress of the answer.
    target_id : str
    heard : dict of str to float
        Time at which each target that answers this node was last heard by it.

    Returns
    -------
    bool
    """
    if now >= since + policy.stream_s + policy.spread_s + policy.shared_s:
        return False
    others = [at for other, at in heard.items() if other != target_id]
    return (
        bool(others) and since - policy.recent_s <= max(others) <= now - policy.quiet_s
    )
