"""Division of an encoded configuration into parts that fit into datagrams."""

from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

__all__ = ["ConfigAssembly", "ConfigPackage"]

# Size of a part in bytes, far below that of the largest datagram.
_PART_BYTES = 8192
# Parts that one query asks for at most, so that a slow link is not flooded.
_ASKED_PARTS = 4


class ConfigPackage(NamedTuple):
    """An encoded configuration: its version, digest and parts."""

    version: int
    digest: str
    parts: tuple[bytes, ...]

    @classmethod
    def of(cls, version, body):
        """Return the package of an encoded configuration."""
        starts = range(0, max(1, len(body)), _PART_BYTES)
        parts = tuple(body[start : start + _PART_BYTES] for start in starts)
        return cls(version, xxh3_64_hexdigest(body), parts)


class ConfigAssembly:
    """Parts of one configuration, received in any order from several nodes."""

    def __init__(self):
        self._identity = None
        self._parts = {}
        self._asked = set()

    @property
    def version(self):
        """Version of the configuration, 0 before its first part."""
        return self._identity[0] if self._identity else 0

    def add(self, version, digest, count, index, data):
        """Add a part; return the whole configuration if it is complete, else None.

        A newer configuration replaces the parts of an older one.
        """
        if version < self.version or not 0 <= index < count:
            return None
        identity = (version, digest, count)
        if identity != self._identity:
            if version == self.version:
                return None
            self._identity, self._parts, self._asked = identity, {}, set()
        self._parts[index] = data
        self._asked.discard(index)
        if len(self._parts) < count:
            return None
        body = b"".join(self._parts[index] for index in range(count))
        self.clear()
        return body if xxh3_64_hexdigest(body) == digest else None

    def next_missing(self):
        """Return the parts to ask for now, none while asked ones are awaited."""
        if self._identity is None or self._asked:
            return []
        count = self._identity[2]
        missing = [index for index in range(count) if index not in self._parts]
        self._asked = set(missing[:_ASKED_PARTS])
        return sorted(self._asked)

    def forget_asked(self):
        """Ask again for parts whose answers may be lost."""
        self._asked = set()

    def clear(self):
        """Drop all parts."""
        self._identity, self._parts, self._asked = None, {}, set()
