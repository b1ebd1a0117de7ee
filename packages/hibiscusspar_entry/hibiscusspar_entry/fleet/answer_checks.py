"""Checks of the heads of targets' answers."""

from hibiscusspar.fleet.retries import AttemptFailure

__all__ = [
    "ends_with_connection",
    "head_failure",
    "is_event_stream",
    "stream_end_failure",
    "tells_limit",
]

_EVENT_STREAM = "text/event-stream"
# Status of a target that doesn't hold the adapter, or isn't the one that was meant.
_MISDIRECTED = 421
# Statuses by which a caller is told that its request has not run and never will.
_PROMISES = frozenset({408, _MISDIRECTED, 429, 503})


def is_event_stream(response):
    """Return whether the body of an answer is an event stream."""
    return response.headers.get("Content-Type", "").startswith(_EVENT_STREAM)


def stream_end_failure(state, response):
    """Return why the end of a stream isn't that of an answer, or None."""
    if state.splitter.has_partial_event:
        return "a part of an event"
    if state.attempt_event_at is None and ends_with_connection(response):
        return "no event"
    return None


def ends_with_connection(response):
    """Return whether only the end of its connection ends the body of an answer."""
    headers = response.headers
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


def tells_limit(request_id, answer, status):
    """Return whether an answer tells which limit its target names now.

    An answer to another request may be old, and a misdirected request may have been
    answered by another target, so neither ends a limit.
    """
    if answer.limit_per_s is not None:
        return True
    return answer.request_id == request_id and status != _MISDIRECTED


def head_failure(admitted, state, answer, response, is_first_call, copy=None):
    """Return the failure that the head of an answer shows, or None.

    Parameters
    ----------
    admitted : Admitted
    state : RequestState
    answer : AnswerHead
    response : Response
    is_first_call : bool
        Whether the connection has certainly carried no request before.
    copy : CopyHandle, optional
        Copy of the run that the request was sent to continue.
    """
    is_ours = answer.request_id == admitted.call.request_id
    # A refusal without an id may come from a target that didn't read the request. On a
    # connection that was used before, it may as well be a late copy of an answer to an
    # earlier call, as one with another id is, and says nothing about this request.
    if answer.not_run and (is_ours or (not answer.request_id and is_first_call)):
        adapter_missing = response.status == _MISDIRECTED
        reason = f"not run, status {response.status}"
        # The connection of one without an id isn't used again, as nothing would tell a
        # copy of it from the answer to an own call.
        return AttemptFailure("answer", reason, True, adapter_missing, is_whole=is_ours)
    if not is_ours:
        reason = f"answer to request {answer.request_id!r}"
        return AttemptFailure("answer", reason, False, False)
    is_stream = is_event_stream(response) and response.status == 200
    if state.answer_begun and not is_stream:
        # The caller already has the head of an answer, so only a stream can follow.
        return AttemptFailure("answer", f"status {response.status}", False, False)
    weights = None if copy is None else copy.weights
    if weights is not None and answer.model_version not in (None, weights.model):
        reason = f"weights {answer.model_version} on state of {weights.model}"
        return AttemptFailure("answer", reason, False, False)
    if 200 <= response.status < 300 and not answer.sealed and not state.answer_begun:
        # Every target signs its own answers.
        return AttemptFailure("answer", "success without a signature", False, False)
    if admitted.route.idempotent:
        is_rejected = response.status >= 500
    else:
        # Its caller would take the status for a statement and send the request again.
        is_rejected = response.status in _PROMISES
    if is_rejected:
        reason = f"status {response.status}"
        return AttemptFailure("answer", reason, False, False, is_whole=True)
    return None
