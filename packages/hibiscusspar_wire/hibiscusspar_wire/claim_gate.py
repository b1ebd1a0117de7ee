"""Waiting for the verdict on the Idempotency-Key of a request."""

from threading import Condition

from hibiscusspar.requests.claim_types import Away

__all__ = ["ClaimGate"]


class ClaimGate:
    """Gate at which the thread of a request waits for the verdict on its claim.

    Parameters
    ----------
    max_wait_s : float
        Longest wait for the platform in seconds.
    """

    def __init__(self, max_wait_s):
        self._max_wait_s = max_wait_s
        self._changed = Condition()
        self._verdicts = {}

    def on_verdict(self, claim_id, verdict):
        """Record a verdict and wake its thread; called with the systems locked."""
        with self._changed:
            self._verdicts[claim_id] = verdict
            self._changed.notify_all()

    def claim(self, locked_systems, claims, account, key, body):
        """Claim a key and wait for the verdict.

        Parameters
        ----------
        locked_systems : callable
            Context manager that locks the systems and yields the time and an outbox.
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
        # ``Claims`` gives a verdict at the deadline at the latest, but only in a
        # tick, so this waits longer.
        with self._changed:
            self._changed.wait_for(
                lambda: claim_id in self._verdicts, 2 * self._max_wait_s
            )
            verdict = self._verdicts.pop(claim_id, None)
        return claim_id, Away(self._max_wait_s) if verdict is None else verdict

    def finish(self, locked_systems, claims, claim_id, outcome, status):
        """Record how the request of a won claim ended."""
        with locked_systems() as (now, _out):
            claims.finish(now, claim_id, outcome, status)
