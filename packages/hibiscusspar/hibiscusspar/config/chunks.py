"""Content-addressed chunks of a configuration, and the root that lists them.

The rows of a section are split into buckets by a hash of their names, so that a
changed row changes only one chunk. The number of buckets is a power of two, doubled
until the largest chunk fits.
"""

import json
from typing import NamedTuple, TypedDict

from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

from hibiscusspar.config.model import (
    AccountSpec,
    AdapterSpec,
    Configuration,
    KeySpec,
    ModelSpec,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
    WeightStoreSpec,
)
from hibiscusspar.errors import StepError

__all__ = [
    "MAX_CHUNK_BYTES",
    "Chunk",
    "Root",
    "check_chunk",
    "chunk_name",
    "join_chunks",
    "join_keys",
    "missing_chunk_names",
    "root_chunk_names",
    "split_configuration",
]

MAX_CHUNK_BYTES = 64 * 1024
_WEIGHT_STORE = "weight_store"
_SPECS = {
    "accounts": AccountSpec,
    "adapters": AdapterSpec,
    "keys": KeySpec,
    "models": ModelSpec,
    "routes": RouteSpec,
    "services": ServiceSpec,
    "targets": TargetSpec,
    "weight_store": WeightStoreSpec,
}


class Chunk(NamedTuple):
    """Rows of one section as JSON text; the name is derived from the text."""

    name: str
    text: str


class Root(TypedDict):
    """Root of a configuration, which is in force once its root is written.

    ``chunks`` holds the names of the chunks of each section.
    """

    revision: int
    chunks: dict[str, list[str]]
    write_id: str
    author: str


def split_configuration(configuration, write_id, author):
    """Return the root value and the chunks of a configuration.

    Parameters
    ----------
    configuration : Configuration
    write_id : str
        Identifies this publication if the response to its write is lost.
    author : str

    Returns
    -------
    (Root, list of Chunk)

    Raises
    ------
    StepError
        If a row is too large for a chunk.
    """
    names = {}
    chunks = []
    for section in _SPECS:
        section_chunks = _section_chunks(section, _rows(configuration, section))
        names[section] = [chunk.name for chunk in section_chunks]
        chunks += section_chunks
    root = Root(
        revision=configuration.revision,
        chunks=names,
        write_id=write_id,
        author=author,
    )
    return root, chunks


def join_chunks(root, texts, parsed=None):
    """Return the configuration of a root.

    Parameters
    ----------
    root : Root
    texts : dict of str to str
        Text of each chunk of the root that is not in ``parsed``.
    parsed : dict, optional
        Cache of rows by name of chunk, updated in place: only new chunks are
        parsed, and chunks that the root no longer names are removed.

    Returns
    -------
    Configuration
    """
    parsed = {} if parsed is None else parsed
    tables = {section: {} for section in _SPECS}
    for section, names in root["chunks"].items():
        if section in _SPECS:
            for name in names:
                if name not in parsed:
                    parsed[name] = _read_rows(section, texts[name])
                tables[section].update(parsed[name])
    for name in parsed.keys() - set(root_chunk_names(root)):
        del parsed[name]
    store = tables.pop("weight_store").get(_WEIGHT_STORE, WeightStoreSpec())
    return Configuration(root["revision"], weight_store=store, **tables)


def join_keys(root, texts):
    """Return the keys of a root; ``texts`` must hold at least their chunks."""
    keys = {}
    for name in root["chunks"].get("keys", []):
        keys.update(_read_rows("keys", texts[name]))
    return keys


def root_chunk_names(root):
    """Return the distinct names of the chunks of a root, those of keys first."""
    sections = sorted(root["chunks"], key=lambda section: (section != "keys", section))
    names = [name for section in sections for name in root["chunks"][section]]
    return list(dict.fromkeys(names))


def missing_chunk_names(root, held):
    """Return the names of the chunks of a root that are not in ``held``."""
    return [name for name in root_chunk_names(root) if name not in held]


def chunk_name(text):
    """Return the name of a chunk: its 128-bit xxh3 in hexadecimal and its length."""
    data = text.encode()
    return f"{xxh3_128_hexdigest(data)}-{len(data)}"


def check_chunk(name, text, peer):
    """Return the text of a chunk if it matches the name.

    Raises
    ------
    StepError
        If the text was changed or truncated.
    """
    if not isinstance(text, str) or chunk_name(text) != name:
        raise StepError("config.chunk", peer, f"content doesn't match name {name}")
    return text


def _rows(configuration, section):
    if section == _WEIGHT_STORE:
        return {_WEIGHT_STORE: configuration.weight_store}
    return getattr(configuration, section)


def _section_chunks(section, rows):
    if not rows:
        return []
    lines = [
        (xxh3_64_intdigest(key.encode()), json.dumps([key, row], separators=(",", ":")))
        for key, row in sorted(rows.items())
    ]
    largest = max(len(line) for _, line in lines)
    if largest > MAX_CHUNK_BYTES // 2:
        reason = f"a row of {largest} bytes is too large for a chunk"
        raise StepError("config.split", section, reason)
    buckets = 1
    while True:
        texts = _bucket_texts(section, lines, buckets)
        if max(map(len, texts)) <= MAX_CHUNK_BYTES:
            return [Chunk(chunk_name(text), text) for text in texts]
        buckets *= 2


def _bucket_texts(section, lines, buckets):
    parts = {}
    for digest, line in lines:
        parts.setdefault(digest % buckets, []).append(line)
    head = f'{{"section":"{section}","rows":[\n'
    return [head + ",\n".join(parts[i]) + "\n]}" for i in sorted(parts)]


def _read_rows(section, text):
    spec = _SPECS[section]
    width = len(spec._fields)
    interned = {}
    rows = json.loads(text)["rows"]
    return {key: spec(*_freeze(row[:width], interned)) for key, row in rows}


def _freeze(value, interned):
    """Return lists as tuples; equal strings and tuples become one object."""
    if isinstance(value, list):
        value = tuple(_freeze(item, interned) for item in value)
    elif not isinstance(value, str):
        return value
    return interned.setdefault(value, value)
