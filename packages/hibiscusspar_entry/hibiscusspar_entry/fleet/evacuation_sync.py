"""Evacuated zones as read from the store or relayed by the coordinator."""

import threading

from hibiscusspar.fleet.evacuations import (
    EvacuationTable,
    LineLimit,
    evacuated_services,
    targets_in,
)
from hibiscusspar.fleet.waiting import Refuse
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.events import (
    EVACUATION_OF_UNKNOWN_ZONE,
    EVACUATIONS_UNREAD,
    ZONE_EVACUATED,
    ZONE_RETURNED,
)

__all__ = ["EvacuationSync"]

# Shortest retry delay in seconds of a request whose service is evacuated, and the
# jitter added to it. Evacuations last longer; callers of a short one lose no more time.
_RETRY_S = 1.0
_RETRY_SPREAD_S = 1.0


class EvacuationSync:
    """List of evacuated zones, and the directory of targets without them.

    Nothing is sent on an assumption: targets are published once the list is known, or
    the first attempt to read it has failed.

    Parameters
    ----------
    clock : callable
    zones : sequence of str
        Zones of the deployment.
    wait_s : float
        Wait of the watch, in seconds.
    publish : callable
        Called with the targets and the evacuated zones after each change of either.
    rng : random.Random
    """

    def __init__(self, clock, zones, wait_s, publish, rng):
        self._clock = clock
        self._deployment_zones = frozenset(zones)
        self._wait_s = wait_s
        self._publish = publish
        self._rng = rng
        self._lock = threading.Lock()
        self._table = EvacuationTable()
        self._line_limit = LineLimit()
        self._targets = {}
        self._is_unreadable = False
        self._zones = frozenset()
        self._closed_services = frozenset()
        # Times at which evacuations began that have no line of their end yet.
        self._since = {}
        # Source of the last list: a node whose view told, or the store.
        self._last_source = {"source": "store"}
        # Called with the ids of the targets whose evacuation is lifted, before they are
        # used again. They may have lost their warm state meanwhile.
        self.presume_cold = lambda target_ids: None

    @property
    def zones(self):
        """Names of the evacuated zones."""
        return self._zones

    def relayed_age_s(self):
        """Return the age in seconds of the list that views relay."""
        return self._table.relayed_age_s(self._clock())

    def is_evacuated(self, target):
        """Return whether a target must get nothing."""
        return target.zone in self._zones

    def refusal(self, service):
        """Return a refusal if all targets of a service are evacuated, else None."""
        if service not in self._closed_services:
            return None
        spread_s = _RETRY_SPREAD_S * self._rng.random()
        return Refuse("evacuated", _RETRY_S + spread_s)

    def complete_view(self, view):
        """Add the evacuated zones that exist to a view, if they are known.

        Objects may have any names, and a view must stay small.
        """
        with self._lock:
            if not self._table.is_known:
                return
            view.evacuated = sorted(filter(self._exists, self._zones))
            view.evacuation_age_s = round(self._table.age_s(self._clock()), 3)

    def set_targets(self, targets):
        """Replace the directory of targets."""
        with self._lock:
            self._targets = targets
            self._publish_targets()

    def apply_relayed(self, zones, at, origin):
        """Apply the list of a view as of a given time, unless a newer one is known.

        Parameters
        ----------
        zones : list of str
        at : float
            Time at which the list was certainly the newest.
        origin : ViewOrigin
        """
        source = {"source": origin.sender, "view": origin.number}
        with self._lock:
            self._apply(
                at,
                source,
                lambda now: self._table.apply_relayed(
                    now, at, zones, origin.sender, origin.start
                ),
            )

    def on_listing(self, objects, sent_at):
        """Apply a listing of the store, whatever the objects hold."""
        zones = [stored.name for stored in objects]
        with self._lock:
            self._apply(
                sent_at,
                {"source": "store"},
                lambda now: self._table.apply_listing(now, sent_at, zones),
            )

    def on_changes(self, events, sent_at):
        """Apply changes of the store, if any."""
        changes = [(stored.name, not deleted) for deleted, stored in events]
        with self._lock:
            at = sent_at
            # The store has held an answer without changes back until the wait was over.
            if not events and self._clock() >= sent_at + self._wait_s:
                at += self._wait_s
            self._apply(
                at,
                {"source": "store"},
                lambda now: self._table.apply_changes(now, at, changes),
            )

    def on_store_returned(self, is_older=False):
        """Do nothing: the next answer of the store tells the list."""

    def on_store_lost(self):
        """Use the targets although the list can't be read, if it was never known."""
        with self._lock:
            if self._table.is_known or self._is_unreadable:
                return
            self._is_unreadable = True
            write_records([(EVACUATIONS_UNREAD, {"targets": len(self._targets)})])
            self._publish_targets()

    def _apply(self, at, source, change):
        """Change the table; publish the targets if the list is new or has changed."""
        now = self._clock()
        was_known, before = self._table.is_known, self._table.rows
        change(now)
        after = self._table.rows
        lifted = before.keys() - after.keys()
        begun = after.keys() - before.keys()
        returned = targets_in(self._targets, lifted)
        if returned:
            self.presume_cold(returned)
        # Only from here on may requests that were assigned before reach them.
        self._zones = self._table.zones
        if lifted or begun or not was_known:
            self._last_source = source
            self._publish_targets()
        self._since = {**dict.fromkeys(begun, now), **self._since}
        self._line_limit.record(lifted | begun)
        self._log_changes(now, at)

    def _publish_targets(self):
        self._closed_services = evacuated_services(self._targets, self._zones)
        if self._table.is_known or self._is_unreadable:
            self._publish(self._targets, self._zones)

    def _exists(self, zone):
        return zone in self._deployment_zones or bool(targets_in(self._targets, {zone}))

    def _log_changes(self, now, at):
        records = []
        for zone, changes in self._line_limit.due(now).items():
            fields = {
                "zone": zone,
                "targets": len(targets_in(self._targets, {zone})),
                "changes": changes,
                "age_s": round(now - at, 3),
                **self._last_source,
            }
            if zone not in self._zones:
                fields["evacuated_s"] = round(now - self._since.pop(zone), 3)
                records.append((ZONE_RETURNED, fields))
            elif self._exists(zone):
                records.append((ZONE_EVACUATED, fields))
            else:
                records.append((EVACUATION_OF_UNKNOWN_ZONE, fields))
        write_records(records)
