"""Estimate of the prompts queued at targets, from the sends of all nodes.

Before their reports reach each other, several nodes may send to the same target. So
each node notifies the others of a send at once, and estimates when the target will
have processed the prompts that it was sent.
"""

__all__ = ["PromptQueues"]


class PromptQueues:
    """Times at which targets will have processed the prompts that they were sent.

    Parameters
    ----------
    tokens_per_s : float
        Rate at which a target processes prompts. The time that decoding steps take is
        about what prefix caching saves, so neither is counted.
    """

    def __init__(self, tokens_per_s):
        self._tokens_per_s = tokens_per_s
        self._done_at = {}

    def sent(self, now, target_id, tokens):
        """Add a prompt that a target was sent."""
        begin = max(now, self._done_at.get(target_id, now))
        self._done_at[target_id] = begin + tokens / self._tokens_per_s

    def reported(self, now, target_id, backlog_s):
        """Raise the backlog of a target to that known from reports, if longer."""
        if now + backlog_s > self._done_at.get(target_id, now):
            self._done_at[target_id] = now + backlog_s

    def backlog_s(self, now, target_id):
        """Return the seconds until a target has processed its prompts."""
        return max(0.0, self._done_at.get(target_id, now) - now)

    def keep(self, target_ids):
        """Forget all other targets."""
        self._done_at = {t: at for t, at in self._done_at.items() if t in target_ids}
