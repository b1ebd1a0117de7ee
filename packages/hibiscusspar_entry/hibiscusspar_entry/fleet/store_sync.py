"""Tables of what the platform's store holds."""

import threading
from typing import NamedTuple

from msgspec import MsgspecError

from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import (
    ADAPTER_VERSION,
    CONFIGURATION_BAD,
    CONFIGURATION_TAKEN,
    TARGET_CHANGED,
    TARGET_GONE,
)

__all__ = ["ConfigSync", "TargetSync", "VersionSync", "ViewOrigin"]


class ViewOrigin(NamedTuple):
    """View that relayed data: the sender, its process and the view's number."""

    sender: str
    start: str
    number: int


class ConfigSync:
    """Configuration as read from the store, which is never replaced by an older one.

    Parameters
    ----------
    codec : PlatformCodec
    clock : callable
    apply : callable
        Called with each new ``Ruleset``.
    """

    def __init__(self, codec, clock, apply):
        self._codec = codec
        self._clock = clock
        self._apply = apply
        self._confirmed_at = None
        self._value = None
        self._in_force_at = None
        self._lock = threading.Lock()
        self.ruleset = None

    @property
    def content(self):
        """Version and value of the object in force, None before the first."""
        with self._lock:
            return None if self.ruleset is None else (self.ruleset.version, self._value)

    @property
    def age_s(self):
        """Seconds since the configuration was last known to be the newest."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    @property
    def in_force_s(self):
        """Seconds since the configuration came into force here, None before."""
        return None if self._in_force_at is None else self._clock() - self._in_force_at

    def on_listing(self, objects, sent_at):
        """Apply a listing."""
        for stored in objects:
            self._apply_object(stored)
        self.confirm(sent_at)

    def on_changes(self, events, sent_at):
        """Apply changes, if any, and confirm the configuration in force after them."""
        for deleted, stored in events:
            if not deleted:
                self._apply_object(stored)
        self.confirm(sent_at)

    def apply_relayed(self, value, sender):
        """Apply the value of the object as another node has it."""
        self._apply_value(value, 0, sender)

    def confirm(self, at):
        """Record that the configuration in force was the newest at a given time."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def on_store_returned(self, is_older=False):
        """Do nothing: the next answer confirms the configuration."""

    def _apply_object(self, stored):
        if stored.name == self._codec.config_name:
            self._apply_value(stored.value, stored.revision, "store")

    def _apply_value(self, value, revision, source):
        try:
            ruleset = self._codec.decode_ruleset(value)
        except (MsgspecError, ValueError) as error:
            fields = {"revision": revision, "reason": str(error)}
            write_records([(CONFIGURATION_BAD, fields)])
            return
        with self._lock:
            if self.ruleset is not None and ruleset.version <= self.ruleset.version:
                return
            self.ruleset, self._value = ruleset, value
            self._in_force_at = self._clock()
            self._apply(ruleset)
        fields = {
            "version": ruleset.version,
            "revision": revision,
            "source": source,
            "routes": sum(map(len, ruleset.routes.values())),
            "accounts": len(ruleset.accounts),
        }
        write_records([(CONFIGURATION_TAKEN, fields)])


class TargetSync:
    """Directory of targets as read from the store or relayed by the coordinator.

    Parameters
    ----------
    codec : PlatformCodec
    clock : callable
    directory : TargetDirectory
    publish : callable
        Called with all rows after each change.
    expiry_s : float
        Shortest outage of the store, in seconds, in which entries expire.
    record_entries : callable, optional
        Called with pairs of a target and the revision of its entry, and the time at
        which the call to the store was sent, before ``publish``.
    """

    def __init__(
        self,
        codec,
        clock,
        directory,
        publish,
        expiry_s,
        record_entries=lambda entries, sent_at: None,
    ):
        self._codec = codec
        self._clock = clock
        self._directory = directory
        self._publish = publish
        self._expiry_s = expiry_s
        self._record_entries = record_entries
        self._confirmed_at = None
        self._relayed_at = float("-inf")
        self._relayed_by = ""
        # Last relayed list, unless the store has been read since, and published rows.
        self._relayed = None
        self._published = {}
        self._lock = threading.Lock()

    @property
    def age_s(self):
        """Seconds since the directory was last known to be the newest."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    @property
    def known_age_s(self):
        """The same, whether this node has read the directory or it was relayed."""
        return self._clock() - self._known_at

    @property
    def _known_at(self):
        at = self._confirmed_at
        return self._relayed_at if at is None else max(self._relayed_at, at)

    def apply_relayed(self, targets, at, origin):
        """Apply the whole directory as the coordinator knew it at a given time.

        It is ignored if this node has read the store itself since then, or has applied
        a newer directory of another coordinator.

        Parameters
        ----------
        targets : list of Target
            The same object as before if it hasn't changed.
        at : float
            Time at which the directory was certainly the newest.
        origin : ViewOrigin
        """
        with self._lock:
            if self._confirmed_at is not None and at < self._confirmed_at:
                return
            # The numbers of its views order the directories of one coordinator; its
            # times may go back, since a view may answer the same report as the last.
            is_successor = origin.start != self._relayed_by
            if is_successor and at < self._relayed_at:
                return
            self._relayed_at = at
            self._relayed_by = origin.start
            if targets is self._relayed:
                self._publish(self._published)
                return
            before = dict(self._directory.rows)
            self._directory.replace_relayed(targets)
            self._relayed = targets
            fields = {
                "reason": "relayed",
                "sender": origin.sender,
                "view": origin.number,
                "age_s": self._age_s(at),
            }
            self._publish_changes(before, fields)

    def on_listing(self, objects, sent_at):
        """Apply a listing."""
        with self._lock:
            self._confirmed_at, self._relayed = sent_at, None
            before = dict(self._directory.rows)
            decoded = (
                (self._codec.decode_target(s.name, s.value), s.revision)
                for s in objects
            )
            entries = [entry for entry in decoded if entry[0] is not None]
            self._record_entries(entries, sent_at)
            targets = [target for target, _ in entries]
            self._directory.replace(self._clock(), targets)
            fields = {"reason": "listed", "age_s": self._age_s(sent_at)}
            self._publish_changes(before, fields)

    def on_changes(self, events, sent_at):
        """Apply changes, if any, and confirm the directory after them."""
        with self._lock:
            self._confirmed_at = sent_at
            if not events and not self._directory.has_missing:
                self._publish(self._published)
                return
            self._relayed = None
            before = dict(self._directory.rows)
            for deleted, stored in events:
                target = None
                if not deleted:
                    target = self._codec.decode_target(stored.name, stored.value)
                if target is not None:
                    self._record_entries([(target, stored.revision)], sent_at)
                    self._directory.put(target)
                else:
                    self._directory.remove(self._clock(), stored.name)
            self._directory.expire(self._clock())
            fields = {"reason": "changed", "age_s": self._age_s(sent_at)}
            self._publish_changes(before, fields)

    def on_store_returned(self, is_older=False):
        """Keep entries that expired during an outage until their targets are back.

        Entries can't have expired if this node knew the directory until shortly before,
        also if it lost only its own path to the store and the coordinator relayed it.

        Parameters
        ----------
        is_older : bool, optional
            Whether the store has an older copy, which targets have yet to correct.
        """
        with self._lock:
            now = self._clock()
            if is_older or now - self._known_at >= self._expiry_s:
                self._directory.store_returned(now, is_older)

    def _age_s(self, at):
        return round(self._clock() - at, 3)

    def _publish_changes(self, before, source_fields):
        rows = dict(self._directory.rows)
        records = []
        for target_id, target in rows.items():
            known = before.get(target_id)
            if known is target:
                continue
            if known is None or _logged_state(known) != _logged_state(target):
                fields = {
                    "target": target_id,
                    "service": target.service,
                    "target_zone": target.zone,
                    "draining": target.draining,
                    "born": target.born,
                    "software": target.software,
                    **source_fields,
                }
                records.append((TARGET_CHANGED, fields))
        for target_id in before.keys() - rows.keys():
            records.append((TARGET_GONE, {"target": target_id, **source_fields}))
        self._published = rows
        self._publish(rows)
        write_records(records)


class VersionSync:
    """Announcements of adapter versions as read from the store.

    Parameters
    ----------
    codec : PlatformCodec
    clock : callable
    announce : callable
        Called with the adapter's key, the version and the seconds since it was
        announced.
    """

    def __init__(self, codec, clock, announce):
        self._codec = codec
        self._clock = clock
        self._announce = announce

    def on_listing(self, objects, sent_at):
        """Apply a listing, whose entries may have any age."""
        for stored in objects:
            self._apply_object(stored, float("inf"))

    def on_changes(self, events, sent_at):
        """Apply changes, whose age counts from when the call was sent."""
        for deleted, stored in events:
            if not deleted:
                self._apply_object(stored, self._clock() - sent_at)

    def on_store_returned(self, is_older=False):
        """Do nothing: versions only grow."""

    def _apply_object(self, stored, age_s):
        announcement = self._codec.decode_version(stored.value)
        if announcement is None:
            return
        model, adapter, version = announcement
        self._announce((model, adapter), version, age_s)
        fields = {"adapter": f"{model}/{adapter}", "version": version}
        write_records([(ADAPTER_VERSION, fields)])


def _logged_state(target):
    return (
        target.address,
        target.draining,
        target.born,
        target.service,
        target.software,
    )
