"""Table of the open requests of this VM."""

import threading
from typing import NamedTuple

__all__ = ["OpenRequest", "OpenRequests"]


class OpenRequest(NamedTuple):
    """An admitted request and what is to be settled at its end.

    ``reservation`` is None on a route open to all, ``claim_id`` empty without an
    ``Idempotency-Key``. ``revoked`` is set when the key is withdrawn.
    """

    request_id: str
    admitted: object
    reservation: object
    started: float
    revoked: threading.Event
    claim_id: str = ""


class OpenRequests:
    """Thread-safe table of open requests."""

    def __init__(self):
        self._lock = threading.Lock()
        self._requests = {}

    def __len__(self):
        return len(self._requests)

    def add(self, open_request):
        """Add a request."""
        with self._lock:
            self._requests[open_request.request_id] = open_request

    def get(self, request_id):
        """Return an open request."""
        return self._requests[request_id]

    def remove(self, request_id):
        """Remove a request and return it, or None if it is not open."""
        with self._lock:
            return self._requests.pop(request_id, None)

    def revoke(self, is_valid):
        """Mark and return the requests whose key is no longer valid.

        Parameters
        ----------
        is_valid : callable
            Takes the digest of a key and its account; returns whether it is valid.

        Returns
        -------
        list of OpenRequest
        """
        with self._lock:
            open_requests = list(self._requests.values())
        revoked = [
            open_request
            for open_request in open_requests
            if not _is_valid(open_request, is_valid)
        ]
        for open_request in revoked:
            open_request.revoked.set()
        return revoked


def _is_valid(open_request, is_valid):
    admitted = open_request.admitted
    return not admitted.key_digest or is_valid(admitted.key_digest, admitted.account)
