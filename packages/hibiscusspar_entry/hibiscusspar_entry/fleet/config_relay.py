"""Exchange of the configuration between nodes.

A node that the store turns away learns from the coordinator's views that a newer
configuration is in force, but not its content. It gets the content from other nodes;
its age counts from the views, as that of a configuration read from the store.
"""

import threading
import zlib

from msgspec import MsgspecError
from msgspec.json import decode as from_json
from msgspec.json import encode as to_json

from hibiscusspar.fleet.config_parts import ConfigAssembly, ConfigPackage
from hibiscusspar.fleet.messages import ConfigPart, ConfigQuery, SendNotice
from hibiscusspar_entry.fleet.address import parse_address
from hibiscusspar_entry.fleet.background import log_failure

__all__ = ["ConfigRelay"]

# Time between two questions while no part arrives, in seconds.
_ASK_S = 0.2
# Nodes asked at a time; not all of them have the newest configuration yet.
_ASKED_NODES = 2
# Size of a decoded configuration in bytes, beyond that of the store's largest object.
_MAX_BYTES = 4 * 1024 * 1024
_COMPRESSION_LEVEL = 1


class ConfigRelay:
    """Part of a node that sends its configuration to others, and asks them for theirs.

    Parameters
    ----------
    clock : callable
    config : ConfigSync
    backoff : StoreBackoff
    peers : PeerTable
    channel : Channel
    rng : random.Random
    newest_version : callable
        Returns the version in force as the coordinator's last view tells.
    """

    def __init__(self, clock, config, backoff, peers, channel, rng, newest_version):
        self._clock = clock
        self._config = config
        self._backoff = backoff
        self._peers = peers
        self._channel = channel
        self._rng = rng
        self._newest_version = newest_version
        self._lock = threading.Lock()
        self._assembly = ConfigAssembly()
        self._package = None
        self._ask_at = 0.0

    @property
    def _known_version(self):
        ruleset = self._config.ruleset
        return ruleset.version if ruleset is not None else 0

    def tick(self):
        """Ask other nodes for the configuration if this node can't read it."""
        if not self._is_needed():
            return
        with self._lock:
            now = self._clock()
            if now < self._ask_at:
                return
            self._ask_at = now + _ASK_S
            self._assembly.forget_asked()
            missing = self._assembly.next_missing()
        addresses = sorted(self._peers.addresses.values())
        count = min(_ASKED_NODES, len(addresses))
        for address in self._rng.sample(addresses, count):
            self._ask(parse_address(address), missing)

    def apply_notice(self, notice, address):
        """Answer a question of another node, or take parts of an answer."""
        if notice.config_asked is not None:
            self._answer(notice.config_asked, address)
        if notice.config_part is not None and self._is_needed():
            self._take(notice.config_part, address)

    def _is_needed(self):
        return self._backoff.failures > 0 and (
            self._known_version < self._newest_version()
        )

    def _ask(self, address, missing):
        query = ConfigQuery(self._known_version, self._assembly.version, missing)
        self._channel.send(address, SendNotice([], config_asked=query))

    def _answer(self, query, address):
        package = self._own_package()
        if package is None or package.version <= query.known:
            return
        # A node that has no part of this version gets the first one, which names it.
        wanted = query.missing if query.version == package.version else [0]
        for index in wanted:
            if 0 <= index < len(package.parts):
                part = ConfigPart(
                    package.version,
                    package.digest,
                    len(package.parts),
                    index,
                    package.parts[index],
                )
                self._channel.send(address, SendNotice([], config_part=part))

    def _own_package(self):
        """Return the configuration in force as a package, or None."""
        with self._lock:
            content = self._config.content
            if content is None:
                return None
            version, value = content
            if self._package is None or self._package.version != version:
                body = zlib.compress(to_json(value), _COMPRESSION_LEVEL)
                self._package = ConfigPackage.of(version, body)
            return self._package

    def _take(self, part, address):
        with self._lock:
            body = self._assembly.add(*part)
            missing = self._assembly.next_missing() if body is None else []
        if missing:
            self._ask(address, missing)
        if body is None:
            return
        try:
            value = from_json(zlib.decompressobj().decompress(body, _MAX_BYTES))
        except (MsgspecError, zlib.error) as error:
            log_failure("config.relayed", error)
            return
        self._config.apply_relayed(value, "{}:{}".format(*address))
