"""Single attempts of requests at targets."""

from math import inf
from typing import Any, NamedTuple

from hibiscusspar.fleet.retries import UNSENT_STEPS, AttemptFailure
from hibiscusspar_entry.fleet.answer_checks import head_failure
from hibiscusspar_entry.fleet.placement import Placement
from hibiscusspar_entry.fleet.refusal import CallerLeftError
from hibiscusspar_entry.fleet.target_statements import AnswerOrigin
from hibiscusspar_wire.dialect import Forwarding
from hibiscusspar_wire.target_connections import CallFailedError, Response

__all__ = ["Attempt", "Attempts"]

# Longest wait for the rest of a refusal, in seconds. Refusals are short and arrive in
# one piece.
_REFUSAL_READ_S = 0.2
_MAX_REFUSAL_BYTES = 65_536


class Attempt(NamedTuple):
    """Attempt that takes over from an earlier one.

    ``response`` is None if its target has not sent the head of its answer yet.
    ``silence`` is a ``SilenceWatch``, or None if no other target may take over.
    """

    placement: Placement
    connection: Any
    response: Response
    sent_at: float
    silence: Any


class Attempts:
    """Sending of requests to the targets that the scheduler has chosen.

    Parameters
    ----------
    parts : FleetParts
    policy : ForwardPolicy
    admission : Admission
    crash_guard : CrashGuard
    """

    def __init__(self, parts, policy, admission, crash_guard):
        self._parts = parts
        self._clock = parts.clock
        self._policy = policy
        self._admission = admission
        self._crash_guard = crash_guard

    def connect(self, admitted, state, placement, is_second=False, limit_s=inf):
        """Return an open way to the target of a placement.

        ``is_second`` is whether the request runs at a silent target meanwhile.
        ``limit_s`` is the longest time to connect over this node's own links.

        Raises
        ------
        CallFailedError
        RefusedError
            If the request is quarantined.
        """
        policy, target = self._policy, placement.target
        self._crash_guard.check(admitted, state)
        idle_s = policy.safe_idle_s
        if not admitted.route.idempotent:
            idle_s = policy.unsafe_idle_s
        suspects = self._crash_guard.suspects(admitted, state, is_second)
        paths, request_id = self._parts.paths, admitted.call.request_id
        if placement.is_reserved:
            return paths.acquire(placement, idle_s, request_id, suspects, limit_s)
        return paths.acquire_again(target, idle_s, request_id)

    def send(self, admitted, state, placement, connection, copy=None, limit_s=inf):
        """Send a request on the way to its target.

        Parameters
        ----------
        admitted : Admitted
        state : RequestState
        placement : Placement
        connection : TargetPath
        copy : CopyHandle, optional
            Copy of the run that the request continues.
        limit_s : float, optional
            Longest time that the target may take to accept the request.

        Raises
        ------
        CallFailedError
        CallerLeftError
        RefusedError
            If its key was withdrawn.
        """
        if state.caller_gone.is_set():
            connection.close()
            raise CallerLeftError
        self._admission.recheck_key(admitted, state)
        remaining_s = admitted.ends_at - self._clock()
        last_event = state.splitter.last_event if state.splitter else None
        forwarding = Forwarding(
            placement.target.target_id,
            admitted.account,
            remaining_s,
            min(9, admitted.priority),
            last_event,
            _expected_version(admitted.call, placement, copy),
            copy,
        )
        head = admitted.head
        headers = self._parts.dialect.target_headers(head, admitted.call, forwarding)
        connection.send(
            head.method, head.uri, headers, admitted.body, remaining_s, limit_s
        )

    def read_head(
        self,
        admitted,
        state,
        placement,
        connection,
        sent_at,
        silence,
        limit_s=inf,
        copy=None,
    ):
        """Wait for the head of an answer.

        Parameters
        ----------
        admitted : Admitted
        state : RequestState
        placement : Placement
        connection : TargetPath
        sent_at : float
        silence : SilenceWatch or None
        limit_s : float, optional
            Longest wait, if the time of the request allows it.
        copy : CopyHandle, optional
            Copy of the run that the request was sent to continue.

        Returns
        -------
        response : Response
        failure : AttemptFailure or None
            Failure that the head shows.

        Raises
        ------
        CallFailedError
        """
        remaining_s = min(limit_s, admitted.ends_at - self._clock())
        response = connection.response(remaining_s, silence)
        answer = self._parts.dialect.answer_head(response.status, response.headers)
        origin = AnswerOrigin(placement.target, sent_at, connection.is_own)
        self._parts.statements.record(
            origin, answer, response.status, admitted.call.request_id
        )
        failure = head_failure(
            admitted, state, answer, response, connection.is_first_call, copy
        )
        if failure is not None:
            connection.record_failed(admitted.call.request_id)
            scheduler = self._parts.request_scheduler
            scheduler.calls.record_failure(
                placement, admitted, sent_at, failure.not_run, response.status
            )
            if failure.adapter_missing:
                scheduler.record_missing_adapter(placement)
        return response, failure

    def drain_refusal(self, connection, response, failure):
        """Read a refusal to its end, to use its connection again.

        Returns
        -------
        bool
            Whether the connection can be released; it is closed otherwise.
        """
        if not failure.is_whole:
            connection.close()
            return False
        try:
            connection.read_whole(response, _REFUSAL_READ_S, _MAX_REFUSAL_BYTES)
        except CallFailedError:
            # The head is enough to decide; the rest of the refusal isn't needed.
            connection.close()
            return False
        return True

    def record_failure(self, admitted, placement, sent_at, error):
        """Record a failed call for the times of plain calls; return its failure."""
        is_unsent = error.step in UNSENT_STEPS
        self._parts.request_scheduler.calls.record_failure(
            placement, admitted, sent_at, is_unsent
        )
        return AttemptFailure(error.step, error.reason, is_unsent, False)

    def blame(self, admitted, state, target, error, is_second=False):
        """Record what a failed call says about its target and about the request."""
        if error.step != "closed":
            self._parts.request_scheduler.record_failure(
                target.target_id, error.step in UNSENT_STEPS
            )
        self._crash_guard.record_failure(admitted, state, target, error, is_second)


def _expected_version(call, placement, copy):
    """Return the version of the adapter or else of the model, 0 for any."""
    if copy is not None and copy.weights is not None:
        return copy.weights.expected
    return placement.version if call.adapter else 0
