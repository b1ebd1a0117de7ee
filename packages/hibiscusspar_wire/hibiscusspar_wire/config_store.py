"""Store of the configuration chunks that this VM uses and serves to its peers."""

import json
from threading import Lock

from hibiscusspar.config.chunks import chunk_name, root_chunk_names

__all__ = ["ConfigStore", "root_text"]


def root_text(root):
    """Return the JSON text of a root; peers name the root by a digest of it."""
    return json.dumps(root, sort_keys=True, separators=(",", ":"))


class ConfigStore:
    """Texts of the configuration in force and of the previous one, by chunk name."""

    def __init__(self):
        self._lock = Lock()
        self._texts = {}
        self._previous = {}

    def text(self, name):
        """Return the text of a chunk or root, or None if it isn't stored."""
        with self._lock:
            return self._texts.get(name) or self._previous.get(name)

    def chunk(self, name):
        """Return the bytes of a chunk or root, or None if it isn't stored."""
        text = self.text(name)
        return None if text is None else text.encode()

    def replace(self, root, texts):
        """Store the texts of a new root and return the name of the root."""
        text = root_text(root)
        name = chunk_name(text)
        held = {chunk: texts[chunk] for chunk in root_chunk_names(root)}
        held[name] = text
        with self._lock:
            self._previous = self._texts
            self._texts = held
        return name
