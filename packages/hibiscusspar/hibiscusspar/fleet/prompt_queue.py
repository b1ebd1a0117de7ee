"""Prompts that targets have still to read, estimated from the sends of all nodes.

Load pattern: nodes send to the same target within the time that their reports take
to reach each other. Each tells the others of a send at once, and each counts when the
target will have read what it was sent.
"""

__all__ = ["PromptQueues"]


class PromptQueues:
    """Times at which targets will have read the prompts that they were sent.

    Parameters
    ----------
    tokens_per_s : float
        How fast a target reads: what decoding steps take is about what it need not
        read because it has kept it.
    """

    def __init__(self, tokens_per_s):
        self._tokens_per_s = tokens_per_s
        self._read_at = {}

    def sent(self, now, target_id, tokens):
        """Count a prompt that a target was sent."""
        begin = max(now, self._read_at.get(target_id, now))
        self._read_at[target_id] = begin + tokens / self._tokens_per_s

    def reported(self, now, target_id, backlog_s):
        """Take in a backlog that is known from reports, if it is longer."""
        if now + backlog_s > self._read_at.get(target_id, now):
            self._read_at[target_id] = now + backlog_s

    def backlog_s(self, now, target_id):
        """Return the seconds until a target has read what it was sent."""
        return max(0.0, self._read_at.get(target_id, now) - now)

    def keep(self, target_ids):
        """Forget all other targets."""
        self._read_at = {t: at for t, at in self._read_at.items() if t in target_ids}
