"""Client of targets: sends one request and reads its answer."""

from typing import Any, NamedTuple

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError
from urllib3.exceptions import HTTPError as TransportError

from hibiscusspar.errors import StepError

__all__ = ["TargetAnswer", "TargetClient", "TargetError"]

_CHUNK_BYTES = 64 * 1024


class TargetError(StepError):
    """A request to a target failed; ``ran`` is ``"not-run"`` or ``"unknown"``."""

    def __init__(self, step, peer, reason, ran):
        super().__init__(step, peer, reason)
        self.ran = ran


class TargetAnswer(NamedTuple):
    """Status and headers of an answer whose body is still to be read."""

    status: int
    headers: Any
    response: Any


class TargetClient:
    """Pooled connections to targets.

    Parameters
    ----------
    connect_timeout_s : float
    silence_timeout_s : float
        Longest wait between bytes of an answer, in seconds.
    """

    def __init__(self, connect_timeout_s, silence_timeout_s):
        timeout = Timeout(connect=connect_timeout_s, read=silence_timeout_s)
        self._pool = PoolManager(num_pools=1024, maxsize=64, timeout=timeout)

    def send(self, address, method, uri, headers, body):
        """Send a request and return its answer up to the headers.

        Raises
        ------
        TargetError
            With ``ran`` ``"not-run"`` if no byte of the request left.
        """
        try:
            response = self._pool.urlopen(
                method,
                f"http://{address}{uri}",
                body=body,
                headers=headers,
                retries=False,
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise TargetError(
                "target.connect", address, str(error), "not-run"
            ) from error
        except TransportError as error:
            raise TargetError("target.send", address, str(error), "unknown") from error
        return TargetAnswer(response.status, response.headers, response)

    def read(self, address, answer):
        """Return the whole body of an answer."""
        try:
            return answer.response.read()
        except TransportError as error:
            raise TargetError("target.read", address, str(error), "unknown") from error
        finally:
            answer.response.release_conn()

    def stream(self, address, answer):
        """Yield the body of an answer; ending early closes the connection."""
        whole = False
        try:
            yield from answer.response.stream(_CHUNK_BYTES)
            whole = True
        except TransportError as error:
            raise TargetError("target.read", address, str(error), "unknown") from error
        finally:
            if whole:
                answer.response.release_conn()
            else:
                answer.response.close()
