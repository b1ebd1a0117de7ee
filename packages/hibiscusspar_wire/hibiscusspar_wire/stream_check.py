"""Validation of an engine's SSE stream, frame by frame, while it is relayed."""

from hashlib import sha256

from msgspec import MsgspecError, Struct
from msgspec.json import Decoder

__all__ = ["StreamCheck"]

_FRAME_END = b"\n\n"
_DATA_PREFIX = b"data: "
_DONE = b"data: [DONE]"


class _Usage(Struct):
    prompt_tokens: int
    completion_tokens: int


class _Chunk(Struct):
    id: str
    model: str
    index: int
    usage: _Usage | None = None


_CHUNK_DECODER = Decoder(_Chunk)


class StreamCheck:
    """Validator of one relayed stream.

    It passes only complete frames that belong to the request and are in sequence.

    Parameters
    ----------
    request_id : str
    label : str
        ``adapter@version`` that every chunk must name.
    skip : int
        Number of chunks that the caller already has; they are compared with
        ``digest`` and not passed on.
    digest : bytes, optional
        Digest of those chunks.

    Attributes
    ----------
    index : int
        Number of chunks received.
    tokens : int
        Tokens that the last chunk with a usage reported.
    done : bool
        Whether the stream is complete.
    fault : str
        Reason why the stream is invalid; empty while it is valid.
    """

    def __init__(self, request_id, label, skip=0, digest=None):
        self.index = 0
        self.tokens = 0
        self.done = False
        self.fault = ""
        self._request_id = request_id
        self._label = label
        self._skip = skip
        self._expected = digest
        self._digest = sha256()
        self._partial_frame = b""

    @property
    def digest(self):
        """Digest of the chunks received so far."""
        return self._digest.digest()

    def discard_partial_frame(self):
        """Discard the partial frame and the fault of a broken connection."""
        self._partial_frame = b""
        self.fault = ""

    def replay(self):
        """Return a validator for a rerun of the same stream on another target."""
        return StreamCheck(self._request_id, self._label, self.index, self.digest)

    def feed(self, data):
        """Process received bytes and return the frames to pass on.

        The first invalid frame sets ``fault``.
        """
        *frames, self._partial_frame = (self._partial_frame + data).split(_FRAME_END)
        passed = []
        for frame in frames:
            frame = frame.lstrip(b"\n")
            if not frame or self.fault:
                continue
            if self._accept(frame):
                passed.append(frame + _FRAME_END)
        return b"".join(passed)

    def _accept(self, frame):
        if self.done:
            self.fault = "data after the end"
        elif frame == _DONE:
            self._end()
            return self.done
        else:
            return self._accept_chunk(frame)
        return False

    def _end(self):
        if self.tokens and self.index >= self._skip:
            self.done = True
        else:
            self.fault = "ended before the last chunk"

    def _accept_chunk(self, frame):
        try:
            chunk = _CHUNK_DECODER.decode(frame.removeprefix(_DATA_PREFIX))
        except MsgspecError:
            self.fault = "not a chunk of a completion"
            return False
        if chunk.id != self._request_id or chunk.model != self._label:
            self.fault = "chunk of another request or adapter"
        elif chunk.index != self.index:
            self.fault = f"chunk {chunk.index} instead of {self.index}"
        else:
            return self._count_chunk(frame, chunk)
        return False

    def _count_chunk(self, frame, chunk):
        self._digest.update(frame)
        self.index += 1
        if chunk.usage is not None:
            self.tokens = chunk.usage.prompt_tokens + chunk.usage.completion_tokens
        if self.index == self._skip and self.digest != self._expected:
            self.fault = "another target gave another text"
        return self.index > self._skip
