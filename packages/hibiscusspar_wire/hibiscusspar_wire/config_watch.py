"""Brings the newest configuration to a VM, from its peers or the platform.

The watchers of a zone wait on the root in the platform. All others learn of a
revision by gossip and fetch the root and what they lack from the VM that
offered it. A VM that starts asks the platform, and its peers if that is away.
"""

import json
from threading import Lock
from typing import Protocol

from hibiscusspar.config.chunks import (
    check_chunk,
    join_chunks,
    join_keys,
    root_chunk_names,
)
from hibiscusspar.errors import StepError
from hibiscusspar.membership.events import (
    CONFIG_APPLIED,
    CONFIG_BEHIND,
    CONFIG_FETCH_FAILED,
)
from hibiscusspar_wire.config_store import ConfigStore
from hibiscusspar_wire.pacing import backoff_s
from hibiscusspar_wire.platform_errors import CompactedError
from hibiscusspar_wire.publishing import CHUNK_KIND, ROOT_KIND, ROOT_NAME

__all__ = ["ConfigApplier", "ConfigWatch"]

OFFER_POLL_S = 0.1
IDLE_S = 1.0
WATCH_S = 10.0
REREAD_S = 60.0
PLATFORM = "platform"


class ConfigApplier(Protocol):
    """Puts configurations in force on this VM."""

    def apply(self, configuration, root_name):
        """Put a configuration in force and spread its revision."""

    def withdraw_keys(self, digests):
        """Withdraw keys at once, ahead of the revision that withdraws them."""


class ConfigWatch:
    """Watches, fetches and applies configurations; never a lower revision.

    Parameters
    ----------
    platform : Platform
    peers : PeerClient
        Has ``chunk(address, name)``, which returns bytes.
    members : MemberSystem
    locked_systems : callable
        Returns a context manager that gives ``(now, out)`` and guards the
        tables of ``members``.
    applier : ConfigApplier
    rng : random.Random
    """

    def __init__(self, platform, peers, members, locked_systems, applier, rng):
        self._platform = platform
        self._peers = peers
        self._members = members
        self._locked_systems = locked_systems
        self._applier = applier
        self._rng = rng
        self._lock = Lock()
        self._revision = 0
        self._since = None
        self._read_at = 0.0
        self._failures = 0
        self._parsed = {}
        self.store = ConfigStore()

    @property
    def revision(self):
        """Revision in force; 0 before the first one."""
        return self._revision

    def run_offers(self, stop):
        """Take up what peers offer until ``stop`` is set."""
        while not stop.wait(OFFER_POLL_S):
            self.take_offer()

    def run_watch(self, stop):
        """Read and watch the platform until ``stop`` is set."""
        while not stop.is_set():
            stop.wait(self.watch_once())

    def take_offer(self):
        """Fetch the newest configuration that a peer offered, if there is one.

        Returns
        -------
        bool
            Whether a configuration was put in force.
        """
        with self._locked_systems():
            offer = self._members.best_offer()
            address = self._members.address_of(offer.vm) if offer else None
        if offer is None:
            return False
        try:
            if address is None:
                raise StepError("config.fetch", offer.vm, "address is not known")
            return self._fetch_offer(offer, address)
        except (StepError, ValueError, KeyError) as error:
            self._failed(offer.revision, offer.vm, error)
            with self._locked_systems():
                self._members.drop_offer(offer.vm)
            return False

    def watch_once(self):
        """Do what is due with the platform.

        Returns
        -------
        float
            Seconds to wait before the next call.
        """
        with self._locked_systems() as (now, _):
            watching = self._members.watching
        try:
            if self._since is None or (watching and now - self._read_at > REREAD_S):
                self._read_root(now)
            if watching:
                self._watch()
            self._failures = 0
        except StepError as error:
            self._since = None
            self._failures += 1
            self._failed(self.revision, PLATFORM, error)
            return backoff_s(self._failures, self._rng)
        return 0.0 if watching else IDLE_S

    def _watch(self):
        try:
            answer = self._platform.watch(ROOT_KIND, self._since, WATCH_S)
        except CompactedError:
            self._since = None
            return
        if answer.events:
            self._since = None
        else:
            self._since = max(self._since, answer.version)
            self._confirm()

    def _read_root(self, now):
        stored = self._platform.get(ROOT_KIND, ROOT_NAME)
        if stored is not None:
            self._take_root(stored.value)
        self._since = stored.version if stored else 0
        self._read_at = now
        self._confirm()

    def _take_root(self, root):
        """Put a root of the platform in force, with chunks of peers if it starts."""
        if root["revision"] <= self.revision:
            self._note_if_behind(root)
            return
        peers = self._peer_addresses() if self.revision == 0 else []
        fetch = _Fetcher(self._platform, self._peers, peers)
        self._complete(root, fetch, PLATFORM)

    def _note_if_behind(self, root):
        if root["revision"] < self.revision:
            with self._locked_systems() as (_, out):
                offered = root["revision"]
                out.log(CONFIG_BEHIND, revision=self.revision, offered=offered)

    def _peer_addresses(self):
        with self._locked_systems():
            rows = self._members.live(self._members.zone)
        found = [row.address for row in rows if row.vm != self._members.vm]
        return self._rng.sample(found, min(2, len(found)))

    def _fetch_offer(self, offer, address):
        fetch = _Fetcher(self._platform, self._peers, [address])
        root = json.loads(fetch.from_peers(offer.root))
        return self._complete(root, fetch, offer.vm)

    def _complete(self, root, fetch, source):
        """Fetch what is missing, withdrawn keys first, and apply."""
        texts = {}
        missing = 0
        key_chunks = set(root["chunks"].get("keys", []))
        for name in root_chunk_names(root):
            held = self.store.text(name)
            missing += held is None
            texts[name] = held or fetch(name)
            if key_chunks and key_chunks <= texts.keys():
                self._withdraw_keys(root, texts)
                key_chunks = set()
        return self._put_in_force(root, texts, missing, source)

    def _withdraw_keys(self, root, texts):
        """Apply withdrawals at once, before the rest of the revision is there."""
        keys = join_keys(root, texts)
        gone = [digest for digest, key in keys.items() if key.withdrawn]
        if gone and root["revision"] > self.revision > 0:
            self._applier.withdraw_keys(gone)

    def _put_in_force(self, root, texts, missing, source):
        revision = root["revision"]
        with self._lock:
            if revision <= self.revision:
                return False
            configuration = join_chunks(root, texts, self._parsed)
            name = self.store.replace(root, texts)
            self._applier.apply(configuration, name)
            self._revision = revision
        with self._locked_systems() as (_, out):
            out.log(CONFIG_APPLIED, revision=revision, source=source, chunks=missing)
        return True

    def _confirm(self):
        with self._locked_systems() as (now, _):
            self._members.confirm_config(now)

    def _failed(self, revision, source, error):
        with self._locked_systems() as (_, out):
            reason = str(error)
            out.log(
                CONFIG_FETCH_FAILED, revision=revision, source=source, reason=reason
            )


class _Fetcher:
    """Fetches chunks from peers while they have them, else from the platform."""

    def __init__(self, platform, peers, addresses):
        self._platform = platform
        self._peers = peers
        self._addresses = list(addresses)

    def __call__(self, name):
        while self._addresses:
            try:
                return self.from_peers(name)
            except StepError:
                self._addresses.pop(0)
        stored = self._platform.get(CHUNK_KIND, name)
        if stored is None:
            raise StepError("config.fetch", PLATFORM, f"chunk {name} is missing")
        return check_chunk(name, stored.value, PLATFORM)

    def from_peers(self, name):
        address = self._addresses[0]
        text = self._peers.chunk(address, name).decode()
        return check_chunk(name, text, address)
