"""Distribution of the newest configuration to a VM by its peers or the platform.

The watchers of a zone watch the root in the platform. All other VMs learn of a
revision by gossip and fetch the root and the chunks that they lack from the VM that
offered it. A VM that starts reads the root from the platform and fetches the chunks
from its peers first; if the platform is unavailable, it relies on offers of peers.
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
    """Component that puts configurations in force on this VM."""

    def apply(self, configuration, root_name):
        """Put a configuration in force and announce its revision to peers."""

    def withdraw_keys(self, digests):
        """Withdraw keys at once, before the revision that withdraws them applies."""


class ConfigWatch:
    """Watcher that fetches and applies configurations, never a lower revision.

    Parameters
    ----------
    platform : Platform
    peers : PeerClient
        Its ``chunk(address, name)`` returns bytes.
    members : MemberSystem
    locked_systems : callable
        Context manager that locks the systems, ``members`` among them, and yields
        the time and an outbox.
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
        """Revision in force; 0 if none was applied yet."""
        return self._revision

    def run_offers(self, stop):
        """Fetch the configurations that peers offer until ``stop`` is set."""
        while not stop.wait(OFFER_POLL_S):
            self.apply_best_offer()

    def run_watch(self, stop):
        """Read and watch the platform until ``stop`` is set."""
        while not stop.is_set():
            stop.wait(self.poll_platform())

    def apply_best_offer(self):
        """Fetch and apply the newest configuration that a peer offered, if any.

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
            self._log_failure(offer.revision, offer.vm, error)
            with self._locked_systems():
                self._members.drop_offer(offer.vm)
            return False

    def poll_platform(self):
        """Read the root from the platform if due, and watch it if this VM watches.

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
            self._log_failure(self.revision, PLATFORM, error)
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
            self._confirm_config()

    def _read_root(self, now):
        stored = self._platform.get(ROOT_KIND, ROOT_NAME)
        if stored is not None:
            self._apply_root(stored.value)
        self._since = stored.version if stored else 0
        self._read_at = now
        self._confirm_config()

    def _apply_root(self, root):
        """Put a root of the platform in force unless its revision isn't newer.

        When a VM starts, the chunks come from up to two peers of its zone if they
        have them.
        """
        if root["revision"] <= self.revision:
            self._log_if_behind(root)
            return
        peers = self._peer_addresses() if self.revision == 0 else []
        fetcher = _Fetcher(self._platform, self._peers, peers)
        self._fetch_and_apply(root, fetcher, PLATFORM)

    def _log_if_behind(self, root):
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
        fetcher = _Fetcher(self._platform, self._peers, [address])
        root = json.loads(fetcher.from_peers(offer.root))
        return self._fetch_and_apply(root, fetcher, offer.vm)

    def _fetch_and_apply(self, root, fetcher, source):
        """Fetch the missing chunks and apply; key withdrawals apply at once."""
        texts = {}
        missing = 0
        key_chunks = set(root["chunks"].get("keys", []))
        for name in root_chunk_names(root):
            held = self.store.text(name)
            missing += held is None
            texts[name] = held or fetcher(name)
            if key_chunks and key_chunks <= texts.keys():
                self._withdraw_keys(root, texts)
                key_chunks = set()
        return self._apply_configuration(root, texts, missing, source)

    def _withdraw_keys(self, root, texts):
        """Apply withdrawals of keys before the other chunks are fetched."""
        keys = join_keys(root, texts)
        withdrawn = [digest for digest, key in keys.items() if key.withdrawn]
        if withdrawn and root["revision"] > self.revision > 0:
            self._applier.withdraw_keys(withdrawn)

    def _apply_configuration(self, root, texts, missing, source):
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

    def _confirm_config(self):
        with self._locked_systems() as (now, _):
            self._members.confirm_config(now)

    def _log_failure(self, revision, source, error):
        with self._locked_systems() as (_, out):
            reason = str(error)
            out.log(
                CONFIG_FETCH_FAILED, revision=revision, source=source, reason=reason
            )


class _Fetcher:
    """Fetcher of chunks from peers, or from the platform once all peers failed."""

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
