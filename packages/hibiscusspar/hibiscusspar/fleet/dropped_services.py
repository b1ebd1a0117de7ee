"""Services that a change of the configuration or of the directory has dropped."""

from hibiscusspar.fleet.waiting import Refuse, WaitPolicy

__all__ = ["DroppedServices"]


class DroppedServices:
    """Services that were known and aren't any more.

    Requests that wait for one of them could only be refused at the end of their wait.
    A service that is not known yet isn't dropped: its targets may be about to appear.

    Parameters
    ----------
    policy : WaitPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or WaitPolicy()
        self._configured = frozenset()
        self._served = frozenset()
        self._removed = frozenset()
        self._targetless = frozenset()

    def configure(self, services):
        """Set the names of the services of the configuration."""
        services = frozenset(services)
        self._removed = (self._removed | self._configured) - services
        self._configured = services

    def set_targets(self, targets):
        """Set the targets of the directory, given as a dict by id."""
        served = frozenset(target.service for target in targets.values())
        gone = (self._targetless | self._served) - served
        self._targetless = gone & self._configured
        self._served = served

    def refusal(self, job):
        """Return the refusal of a job whose service was dropped, else None."""
        if job.service in self._removed:
            reason = "no such service"
        elif job.service in self._targetless:
            reason = "no target"
        else:
            return None
        policy = self._policy
        return Refuse(reason, policy.retry_s + policy.retry_spread_s * job.fraction)
