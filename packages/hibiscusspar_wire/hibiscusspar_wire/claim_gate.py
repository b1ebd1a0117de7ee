"""Lets the thread of a request wait for the verdict on its Idempotency-Key."""

from threading import Condition

from hibiscusspar.requests.claim_types import Away

__all__ = ["ClaimGate"]


class ClaimGate:
    """Verdicts on claims, handed to the threads that wait for them.

    Parameters
    ----------
    max_wait_s : float
        Longest wait for the platform.
    """

    def __init__(self, max_wait_s):
        self._max_wait_s = max_wait_s
        self._changed = Condition()
        self._verdicts = {}

    def on_verdict(self, claim_id, verdict):
        """Take in a verdict; called under the lock of the tables."""
        with self._changed:
            self._verdicts[claim_id] = verdict
            self._changed.notify_all()

    def claim(self, locked_systems, claims, account, key, body):
        """Claim a key and wait for the verdict.

        Parameters
        ----------
        locked_systems : callable
            Context manager that yields the time and an outbox under the lock of
            the tables.
        claims : Claims
        account, key : str
        body : str
            Digest of the request body.

        Returns
        -------
        claim_id : str
        verdict : Won, Earlier, Mismatch or Away
        """
        with locked_systems() as (now, out):
            claim_id = claims.claim(now, account, key, body, now + self._max_wait_s)
            claims.tick(now, out)
        # The tables give the verdict at the deadline; the rest is for their tick.
        with self._changed:
            self._changed.wait_for(
                lambda: claim_id in self._verdicts, 2 * self._max_wait_s
            )
            verdict = self._verdicts.pop(claim_id, None)
        return claim_id, Away(self._max_wait_s) if verdict is None else verdict

    def finish(self, locked_systems, claims, claim_id, outcome, status):
        """Note how the request of a won claim ended."""
        with locked_systems() as (now, _out):
            claims.finish(now, claim_id, outcome, status)
