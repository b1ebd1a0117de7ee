"""Client of the operators' port of entry VMs."""

from http import HTTPStatus

from urllib3.exceptions import HTTPError

from hibiscusspar.errors import StepError
from hibiscusspar_wire.strict_http import strict_pool_manager

__all__ = ["drain_node", "node_statuses", "read_status"]

CALL_TIMEOUT_S = 3.0
SECRET_HEADER = "X-Peer-Secret"
_POOL = strict_pool_manager(timeout=CALL_TIMEOUT_S, retries=False)


def read_status(address):
    """Return the status that an entry VM reports.

    Raises
    ------
    StepError
        If the entry VM does not answer, or not with a status.
    """
    answer = _call("GET", address, "/status", "node.status")
    try:
        value = answer.json()
    except ValueError as error:
        raise StepError("node.status", address, "answer is not JSON") from error
    if not isinstance(value, dict):
        raise StepError("node.status", address, "answer is not a status")
    return value


def drain_node(address, secret):
    """Tell an entry VM to accept no new requests, finish the open ones and exit."""
    _call("POST", address, "/drain", "node.drain", {SECRET_HEADER: secret})


def node_statuses(addresses):
    """Return the status of each address, or the error if it can't be read."""
    rows = []
    for address in addresses:
        try:
            rows.append({"address": address} | read_status(address))
        except StepError as error:
            rows.append({"address": address, "error": error.reason})
    return rows


def _call(method, address, path, step, headers=None):
    try:
        answer = _POOL.request(method, f"http://{address}{path}", headers=headers)
    except HTTPError as error:
        raise StepError(step, address, str(error)) from error
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise StepError(step, address, f"answered {answer.status}")
    return answer
