"""Refusal of requests by the entry VM itself, without an answer of a target."""

from hibiscusspar.errors import StepError
from hibiscusspar_wire.callers import error_answer

__all__ = ["RefusedError"]


class RefusedError(StepError):
    """Refusal of a request, with its reason and whether the request ran.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    code : str
        Stable identifier of the error.
    reason : str
    step : str
    account : str, optional
        Account of the request; empty before authentication.
    ran : {"not-run", "unknown"}
    retry_after_s : float, optional
        Seconds after which the caller can retry.
    """

    def __init__(
        self,
        status,
        code,
        reason,
        step,
        account="",
        ran="not-run",
        retry_after_s=None,
    ):
        super().__init__(step, account, reason)
        self.status = status
        self.code = code
        self.account = account
        self.ran = ran
        self.retry_after_s = retry_after_s

    def answer(self):
        """Return the error as :class:`~hibiscusspar_wire.callers.Answer`."""
        return error_answer(
            self.status,
            self.code,
            self.reason,
            self.step,
            self.ran,
            self.retry_after_s,
        )

    def fields(self):
        """Return the fields of the log event, without the request id."""
        return {
            "account": self.account,
            "code": self.code,
            "step": self.step,
            "reason": self.reason,
            "ran": self.ran,
        }
