"""Estimate of the prompts queued at targets, from the sends of all nodes.

Before their reports reach each other, several nodes may send to the same target. So
each node notifies the others of a send at once, and estimates when the target will
have processed the prompts sent to it.
"""

__all__ = ["PromptQueues"]


class PromptQueues:
    """Times at which targets will have processed the prompts sent to them.

    Parameters
    ----------
    tokens_per_s : float
        Rate at which a target processes prompts. The time that decoding steps take is
        about what prefix caching saves, so neither is counted.
    """

    def __init__(self, tokens_per_s):
        self._tokens_per_s = tokens_per_s
        self._done_at = {}

    @property
    def targets(self):
        """Targets that have got prompts, also if they have processed them."""
        return self._done_at.keys()

    def record_send(self, now, target_id, tokens, factor=1.0):
        """Add a prompt that was sent to a target with a factor on the usual times."""
        begin = max(now, self._done_at.get(target_id, now))
        self._done_at[target_id] = begin + tokens / self._tokens_per_s * factor

    def record_report(self, now, target_id, backlog_s):
        """Raise the backlog of a target to that known from reports, if longer."""
        self.record_reports(now, [(target_id, backlog_s)])

    def record_reports(self, now, backlogs):
        """Raise backlogs to those known from reports; pairs of target and seconds."""
        done_at = self._done_at
        for target_id, backlog_s in backlogs:
            if now + backlog_s > done_at.get(target_id, now):
                done_at[target_id] = now + backlog_s

    def done_at(self, target_id):
        """Return when a target will have processed its prompts, 0 if it got none."""
        return self._done_at.get(target_id, 0.0)

    def backlog_s(self, now, target_id):
        """Return the seconds until a target has processed its prompts."""
        done_at = self._done_at.get(target_id)
        return 0.0 if done_at is None or done_at < now else done_at - now

    def backlogs(self, now):
        """Return the backlogs in seconds by target, without those that are 0."""
        return {t: at - now for t, at in self._done_at.items() if at > now}

    def retain(self, target_ids):
        """Remove all targets except the given ones."""
        self._done_at = {t: at for t, at in self._done_at.items() if t in target_ids}
