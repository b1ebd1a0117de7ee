"""Continuation of streams at the software version that began them."""

from hibiscusspar.fleet.stream_origins import StreamOrigin
from hibiscusspar_entry.fleet.ended_by import EndedBy
from hibiscusspar_entry.fleet.refusal import RefusedError

__all__ = ["StreamContinuation"]

# Origin of a stream that no target may continue.
_UNKNOWN_ORIGIN = StreamOrigin("", "")


class StreamContinuation:
    """Origins of the streams that pass through one node.

    Parameters
    ----------
    origins : OriginExchange
    request_scheduler : RequestScheduler
    retry_s : float
        Retry delay in seconds of a request whose origin another node may know.
    """

    def __init__(self, origins, request_scheduler, retry_s):
        self._origins = origins
        self._request_scheduler = request_scheduler
        self._retry_s = retry_s

    def find_origin(self, admitted, state):
        """Determine which software may continue the stream that a caller takes up.

        Raises
        ------
        RefusedError
            If no target may continue the stream, or if this isn't known.
        """
        resumes = admitted.call.resumes
        origin = self._origins.find(resumes) if resumes else None
        if origin is not None and origin.service != admitted.service:
            raise RefusedError(503, "the stream began at another service")
        if origin is None:
            versions = self._request_scheduler.software.versions(admitted.service)
            if versions is None or len(versions) > 1:
                raise RefusedError(503, "unknown origin of the stream", self._retry_s)
        state.origin = origin
        self.check_origin(state)

    def check_origin(self, state):
        """Refuse to continue a stream if no target of its software remains."""
        if state.origin is not None and not self.can_continue(state):
            refusal = self._request_scheduler.refusal(state.origin.service)
            if refusal is not None:
                raise RefusedError(503, refusal.reason, refusal.retry_after_s)
            reason = "no target of the stream's software remains"
            raise RefusedError(503, reason, by=EndedBy.SOFTWARE)

    def can_continue(self, state, silent=frozenset()):
        """Return whether a target other than the silent ones may continue a stream."""
        origin = state.origin or _UNKNOWN_ORIGIN
        return self._request_scheduler.serves(origin, state.broken_at | silent)

    def record_origin(self, admitted, state, target):
        """Record the software of a stream, before its caller gets an event of it."""
        if state.origin is not None or not admitted.route.resumable:
            return
        if not self._request_scheduler.is_current(target):
            # The target may have restarted with other software, so the stream can't be
            # continued.
            state.origin = _UNKNOWN_ORIGIN
            return
        state.origin = StreamOrigin(admitted.service, target.software)
        call = admitted.call
        self._origins.announce(call.resumes or call.request_id, state.origin)
