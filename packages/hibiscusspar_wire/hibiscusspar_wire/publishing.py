"""Functions for publishing the configuration.

A publication writes its chunks first; one conditional update of the root object
then puts them in force. Every chunk that the base revision doesn't use is written,
or rewritten so that its version changes, after the base was read.
:func:`collect_chunks` updates the root before it deletes, and deletes chunks only
at the versions that it listed. It therefore can't delete a chunk that a concurrent
publication is about to use.
"""

from time import monotonic, sleep

from hibiscusspar.config.chunks import (
    check_chunk,
    join_chunks,
    root_chunk_names,
    split_configuration,
)
from hibiscusspar.config.diff import diff
from hibiscusspar.config.model import KeySpec, empty_configuration
from hibiscusspar.errors import StepError
from hibiscusspar_wire.platform_errors import (
    ConflictError,
    MissingError,
    PlatformError,
    UnknownOutcomeError,
)
from hibiscusspar_wire.publications import (
    ROOT_NAME,
    CurrentConfiguration,
    Publication,
    PublishConflictError,
    PublishUnknownError,
)
from hibiscusspar_wire.toml_files import read_directories

__all__ = [
    "CHUNK_KIND",
    "ROOT_KIND",
    "ROOT_NAME",
    "CurrentConfiguration",
    "Publication",
    "PublishConflictError",
    "PublishUnknownError",
    "collect_chunks",
    "issue_key",
    "publish",
    "publish_edit",
    "read_current",
    "read_directories",
    "wait_for_revision",
    "withdraw_key",
]

ROOT_KIND = "config-root"
CHUNK_KIND = "config-chunk"
MAX_HISTORY = 32
MAX_ATTEMPTS = 5
MAX_READ_BACKS = 8
POLL_S = 0.25
READ_BACK_PAUSE_S = 0.25


def read_current(platform):
    """Return the :class:`CurrentConfiguration` of a platform.

    Raises
    ------
    StepError
        If the platform can't be read or chunks of the root are missing.
    """
    for _ in range(MAX_ATTEMPTS):
        stored = platform.get(ROOT_KIND, ROOT_NAME)
        if stored is None:
            return CurrentConfiguration(None, empty_configuration(), 0)
        texts = _read_chunks(platform, stored.value)
        if texts is not None:
            configuration = join_chunks(stored.value, texts)
            return CurrentConfiguration(stored.value, configuration, stored.version)
    raise StepError("publish.read", ROOT_NAME, "chunks of the root are missing")


def _read_chunks(platform, root):
    """Return the chunks of a root; None if it was replaced and they were deleted."""
    texts = {}
    for name in root_chunk_names(root):
        chunk = platform.get(CHUNK_KIND, name)
        if chunk is None:
            return None
        texts[name] = check_chunk(name, chunk.value, "platform")
    return texts


def publish(
    platform,
    configuration,
    base_version,
    author,
    rng_hex,
    base_configuration=None,
    pause=sleep,
):
    """Put a declared configuration in force, keeping the issued keys.

    Parameters
    ----------
    platform : Platform
    configuration : Configuration
        Result of :func:`read_directories`.
    base_version : int
        Version of the root that the operator compared with; 0 if there was none.
    author : str
    rng_hex : callable
        ``rng_hex(n)`` returns ``n`` random bytes in hexadecimal.
    base_configuration : Configuration, optional
        Configuration at ``base_version``; a conflict then reports what changed
        since.
    pause : callable
        Sleeps for the given seconds between attempts to resolve a lost answer.

    Returns
    -------
    Publication

    Raises
    ------
    PublishConflictError
        If another publication took effect first; this one had no effect.
    PublishUnknownError
        If the outcome could not be determined.
    PlatformError
        If the platform failed before the root was written; there was no effect.
    """
    base = read_current(platform)
    if base.version != base_version:
        raise _conflict_error(base, base_configuration)
    wanted = configuration._replace(keys=base.configuration.keys)
    return _publish_revision(platform, base, wanted, author, rng_hex(16), pause)


def publish_edit(platform, edit, author, rng_hex, pause=sleep):
    """Publish an edit of the configuration in force.

    After a conflict with another publication the edit is applied again to the new
    configuration.

    Parameters
    ----------
    platform : Platform
    edit : callable
        Takes the configuration in force and returns the edited one; it may raise
        to abort.
    author : str
    rng_hex : callable

    Returns
    -------
    Publication
    """
    for attempt in range(MAX_ATTEMPTS):
        base = read_current(platform)
        try:
            wanted = edit(base.configuration)
            return _publish_revision(platform, base, wanted, author, rng_hex(16), pause)
        except PublishConflictError:
            if attempt == MAX_ATTEMPTS - 1:
                raise
    raise AssertionError("unreachable")


def issue_key(platform, account, key_id, digest, author, rng_hex):
    """Issue a key, given only its SHA-256 digest in hexadecimal.

    Raises
    ------
    StepError
        If the client account is not declared or the id or digest is taken.
    """

    def edit(configuration):
        keys = configuration.keys
        if account not in configuration.accounts:
            raise StepError("key.issue", account, "client account is not declared")
        if digest in keys or any(key.key_id == key_id for key in keys.values()):
            raise StepError("key.issue", key_id, "key is already issued")
        row = KeySpec(digest, account, key_id)
        return configuration._replace(keys={**keys, digest: row})

    return publish_edit(platform, edit, author, rng_hex)


def withdraw_key(platform, key_id, author, rng_hex):
    """Withdraw a key by its id; its id and digest can't be issued again.

    Raises
    ------
    StepError
        If there is no such key.
    """

    def edit(configuration):
        keys = dict(configuration.keys)
        rows = [key for key in keys.values() if key.key_id == key_id]
        if not rows:
            raise StepError("key.withdraw", key_id, "no such key was issued")
        for row in rows:
            keys[row.digest] = row._replace(withdrawn=True)
        return configuration._replace(keys=keys)

    return publish_edit(platform, edit, author, rng_hex)


def collect_chunks(platform, rng_hex, pause=sleep):
    """Delete the chunks that the root in force doesn't use; return their number.

    Raises
    ------
    PublishConflictError
        If another publication took effect meanwhile; nothing was deleted.
    """
    listed = platform.list(CHUNK_KIND).items
    stored = platform.get(ROOT_KIND, ROOT_NAME)
    if stored is None:
        return 0
    used = set(root_chunk_names(stored.value))
    unused = [chunk for chunk in listed if chunk.name not in used]
    if not unused:
        return 0
    root = {**stored.value, "write_id": f"collect-{rng_hex(16)}"}
    _put_root(platform, root, CurrentConfiguration(root, None, stored.version), pause)
    return sum(_delete(platform, chunk) for chunk in unused)


def _delete(platform, chunk):
    try:
        platform.delete(CHUNK_KIND, chunk.name, chunk.version)
    except (ConflictError, MissingError, UnknownOutcomeError):
        return 0
    return 1


def wait_for_revision(observe, revision, timeout_s, clock=monotonic, pause=sleep):
    """Wait until every live node reports a revision or a later one.

    Parameters
    ----------
    observe : callable
        Returns a mapping from VM to the revision that it reports.
    revision : int
    timeout_s : float
    clock, pause : callable

    Returns
    -------
    list of str
        VMs that don't report it yet; empty if all do. If no node answered, one text
        that says so.
    """
    ends_at = clock() + timeout_s
    while True:
        reported = observe()
        behind = sorted(vm for vm, known in reported.items() if known < revision)
        if reported and not behind:
            return []
        if clock() >= ends_at:
            return behind or ["(no node answered)"]
        pause(POLL_S)


def _publish_revision(platform, base, wanted, author, write_id, pause):
    changes = diff(base.configuration, wanted)
    wanted = wanted._replace(revision=base.configuration.revision + 1)
    root, chunks = split_configuration(wanted, write_id, author)
    root["history"] = _history(base.root, root)
    held = set(root_chunk_names(base.root)) if base.root else set()
    new = [chunk for chunk in chunks if chunk.name not in held]
    for chunk in new:
        _write_chunk(platform, chunk)
    version = _put_root(platform, root, base, pause)
    return Publication(wanted.revision, version, write_id, changes, len(new))


def _history(base_root, root):
    earlier = base_root.get("history", []) if base_root else []
    entry = [root["revision"], root["write_id"], root["author"]]
    return [entry, *earlier][:MAX_HISTORY]


def _write_chunk(platform, chunk):
    """Create a chunk, or rewrite it so that its version changes."""
    for _ in range(MAX_ATTEMPTS):
        stored = platform.get(CHUNK_KIND, chunk.name)
        try:
            if stored is None:
                platform.create(CHUNK_KIND, chunk.name, chunk.text)
            else:
                platform.update(CHUNK_KIND, chunk.name, chunk.text, stored.version)
        except (ConflictError, MissingError, UnknownOutcomeError):
            continue
        return
    raise StepError("publish.chunk", chunk.name, "could not be written")


def _put_root(platform, root, base, pause):
    """Replace the base root and return the new version.

    After a lost answer the root is read back to find out whether the write took
    effect; if that is undecided, the write is sent again.
    """
    last = None
    for _ in range(MAX_READ_BACKS):
        try:
            return _write_root(platform, root, base.version)
        except (ConflictError, MissingError) as error:
            if last is None:
                raise _conflict_error(
                    read_current(platform), base.configuration
                ) from error
            last = error
        except UnknownOutcomeError as error:
            last = error
        except PlatformError as error:
            if last is None:
                raise
            last = error
        version = _read_back(platform, root, base)
        if version:
            return version
        pause(READ_BACK_PAUSE_S)
    raise PublishUnknownError(root["write_id"], root["revision"], str(last)) from last


def _write_root(platform, root, base_version):
    if base_version == 0:
        return platform.create(ROOT_KIND, ROOT_NAME, root)
    return platform.update(ROOT_KIND, ROOT_NAME, root, base_version)


def _read_back(platform, root, base):
    """Return the version of the root if the write took effect, 0 if unknown.

    Raises
    ------
    PublishConflictError
        If another publication took effect instead.
    """
    try:
        stored = platform.get(ROOT_KIND, ROOT_NAME)
        if stored is None or stored.version == base.version:
            return 0
        if _took_effect(stored.value, root["write_id"]):
            return stored.version
        found = read_current(platform)
    except PlatformError:
        return 0
    raise _conflict_error(found, base.configuration)


def _took_effect(root, write_id):
    history = root.get("history", [])
    return root["write_id"] == write_id or any(
        entry[1] == write_id for entry in history
    )


def _conflict_error(found, base_configuration):
    root = found.root or {"revision": 0, "author": "nobody"}
    changes = (
        ()
        if base_configuration is None
        else diff(base_configuration, found.configuration)
    )
    return PublishConflictError(root["revision"], root["author"], changes)
