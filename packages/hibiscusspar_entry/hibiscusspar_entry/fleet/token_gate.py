"""Tokens of a request, taken from its account's limit before it may run."""

from typing import NamedTuple

from hibiscusspar.fleet.fanout import exchange_interval_s
from hibiscusspar.fleet.quota import Deferred, Granted, OverLimit
from hibiscusspar_entry.fleet.refusal import RefusedError

__all__ = ["TokenGate", "TokenPolicy"]

# Intervals of views for which a request waits for one with enough tokens, at least.
_WAITED_VIEWS = 1.25


class TokenPolicy(NamedTuple):
    """Settings of the wait for tokens; times in seconds.

    ``wait_s`` is the longest wait for a view with enough tokens in a small fleet, and
    ``first_view_wait_s`` that for the first view after the start: processes of a fleet
    that were all killed at once elect a coordinator in this time. ``spread_s`` spreads
    the retries of callers over their limit.
    """

    wait_s: float = 0.3
    first_view_wait_s: float = 0.8
    spread_s: float = 0.5


class TokenGate:
    """Gate that admits requests as the limits of their accounts allow.

    Parameters
    ----------
    clock : callable
    quota : NodeQuota
    quota_changed : threading.Condition
        Guards ``quota`` and is notified of each view.
    request_scheduler : RequestScheduler
        Sends reports and knows the size of the fleet.
    policy : TokenPolicy, optional
    """

    def __init__(self, clock, quota, quota_changed, request_scheduler, policy=None):
        self._clock = clock
        self._quota = quota
        self._quota_changed = quota_changed
        self._request_scheduler = request_scheduler
        self._policy = policy or TokenPolicy()

    def take(self, admitted, caller_gone):
        """Take the tokens of a request; wait for a view if it may bring them.

        Parameters
        ----------
        admitted : Admitted
        caller_gone : threading.Event
            Ends the wait.

        Raises
        ------
        RefusedError
            If the account is over its limit.
        """
        rule = admitted.rule
        if rule is None:
            return
        started_at = self._clock()
        with self._quota_changed:
            while True:
                verdict = self._quota.take(self._clock(), rule, admitted.cost)
                if isinstance(verdict, Granted):
                    return
                remaining_s = started_at + self._max_wait_s(verdict) - self._clock()
                if (
                    isinstance(verdict, OverLimit)
                    or remaining_s <= 0
                    or caller_gone.is_set()
                ):
                    break
                self._request_scheduler.request_report()
                self._quota_changed.wait(remaining_s)
            if not caller_gone.is_set():
                self._quota.deny(rule, admitted.cost)
        wait_s = verdict.retry_after_s if isinstance(verdict, OverLimit) else 0.0
        wait_s += self._policy.spread_s * admitted.fraction
        raise RefusedError(429, "over the account's limit", wait_s)

    def give_back(self, admitted):
        """Refund the tokens of a request that did not run."""
        if admitted.rule is not None:
            with self._quota_changed:
                self._quota.give_back(admitted.rule, admitted.cost)

    def _max_wait_s(self, verdict):
        """Return the longest total wait for a view with enough tokens, in seconds."""
        if isinstance(verdict, Deferred) and verdict.is_first:
            return self._policy.first_view_wait_s
        interval_s = exchange_interval_s(self._request_scheduler.nodes)
        return max(self._policy.wait_s, _WAITED_VIEWS * interval_s)
