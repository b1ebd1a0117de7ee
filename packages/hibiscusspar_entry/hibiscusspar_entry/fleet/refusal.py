"""Errors that a node answers itself, without an answer of a target."""

from msgspec.json import encode as to_json

from hibiscusspar_entry.fleet.ended_by import EndedBy

__all__ = ["CallerLeftError", "FailedError", "RefusedError"]


class RefusedError(Exception):
    """Exception raised when a request is refused and has not run.

    Parameters
    ----------
    status : int
    reason : str
        Reason for the log.
    retry_after_s : float, optional
    by : EndedBy, optional
        Decision that ends the request if it may have run before.
    told : str, optional
        Reason for the caller, if it differs. The one for the log may quote bytes of a
        target, which may belong to another caller.
    """

    def __init__(
        self,
        status,
        reason,
        retry_after_s=None,
        by: EndedBy = EndedBy.PLACEMENT,
        told=None,
    ):
        super().__init__(status, reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.by = by
        self.told = reason if told is None else told

    def headers(self):
        """Return the headers of the answer."""
        headers = [("Content-Type", "application/json")]
        if self.retry_after_s is not None:
            headers.append(("Retry-After", f"{self.retry_after_s:.2f}"))
        return headers

    def body(self):
        """Return the body of the answer."""
        return to_json({"error": {"reason": self.told, "ran": "not-run"}})


class FailedError(Exception):
    """Exception raised when a request got no complete answer and may have run.

    Parameters
    ----------
    status : int
    reason : str
        Reason for the log.
    by : EndedBy
    told : str
        Reason for the caller, without bytes of a target.
    """

    def __init__(self, status, reason, by: EndedBy, told):
        super().__init__(status, reason)
        self.status = status
        self.reason = reason
        self.by = by
        self.told = told

    def headers(self):
        """Return the headers of the answer."""
        return [("Content-Type", "application/json")]

    def body(self):
        """Return the body of the answer."""
        return to_json({"error": {"reason": self.told, "ran": "unknown"}})


class CallerLeftError(Exception):
    """Exception raised when the caller has closed its connection."""
