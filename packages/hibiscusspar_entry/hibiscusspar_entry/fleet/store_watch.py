"""Watch of the objects of one kind in the platform's store."""

import threading

from hibiscusspar.errors import StepError
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.background import log_failure
from hibiscusspar_entry.fleet.events import (
    STORE_LOST,
    STORE_REGAINED,
    STORE_REPLACED,
)
from hibiscusspar_entry.fleet.own_reads import UnlimitedReads
from hibiscusspar_wire.platform_errors import CompactedError, StoreReplacedError

__all__ = ["StoreWatch"]

# Shortest pause after a failed call, in seconds.
_RETRY_S = 0.15
# Time in seconds after which a suspended watch checks whether it must read again.
_RELAYED_POLL_S = 0.12


class StoreWatch:
    """Watch of one kind of object: a listing followed by its changes.

    Parameters
    ----------
    store : ObjectStore
    kind : str
    clock : callable
    wait_s : float
        Longest wait of one watch call.
    gap_s : float
        Pause between calls, which bounds their rate while many objects change.
    handler : object
        Has ``on_listing(objects, sent_at)``, ``on_changes(events, sent_at)`` and
        ``on_store_returned(is_older)``, which is called after an outage, and with
        ``is_older`` if the store has returned from an older copy.
    is_relayed : callable
        Returns whether the coordinator's views relay these objects, so that the store
        need not be read.
    backoff : StoreBackoff
    relayed_for_s : callable, optional
        Returns the time after which ``is_relayed`` may change unless :meth:`wake` is
        called before.
    own_reads : OwnReads, optional
        Decides when this node reads for itself.
    limit_s : float, optional
        Age up to which objects of this kind are relied on, 0 if they change rarely.
    """

    def __init__(
        self,
        store,
        kind,
        clock,
        wait_s,
        gap_s,
        handler,
        is_relayed,
        backoff,
        relayed_for_s=lambda: _RELAYED_POLL_S,
        own_reads=None,
        limit_s=0.0,
    ):
        self._store = store
        self._kind = kind
        self._clock = clock
        self._wait_s = wait_s
        self._gap_s = gap_s
        self._handler = handler
        self._is_relayed = is_relayed
        self._backoff = backoff
        self._relayed_for_s = relayed_for_s
        self._own_reads = own_reads or UnlimitedReads()
        self._limit_s = limit_s
        self._answer_sent_at = None
        self._revision = None
        self._outage_since = None
        # Whether a listing follows each change, for kinds that change rarely. It
        # confirms the state without another wait. The event of a deletion may have the
        # revision of the last write, with which a watch would return it again at once.
        self.lists_after_changes = False
        # Called at the first call of an outage.
        self.on_store_lost = lambda: None
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread of the watch."""
        self._thread.start()

    def wake(self):
        """Check at once whether the store must be read."""
        self._wake.set()

    def poll_once(self):
        """Make one call and return the pause after it, in seconds."""
        try:
            self._poll()
        except StoreReplacedError as error:
            self._backoff.record_answer()
            self._revision = None
            fields = {"kind": self._kind, "reason": error.reason}
            write_records([(STORE_REPLACED, fields)])
            self._handler.on_store_returned(is_older=True)
            return 0.0
        except CompactedError:
            # The history was compacted, so a listing replaces it.
            self._backoff.record_answer()
            self._revision = None
            return 0.0
        except StepError as error:
            self._backoff.record_failure()
            self._record_outage(error)
            # A listing fails sooner than a watch call, so that the end of the outage is
            # noticed early.
            self._revision = None
            return _RETRY_S
        age_s = self._clock() - self._answer_sent_at
        return self._own_reads.pause_s(age_s, self._wait_s, self._gap_s, self._limit_s)

    def _run(self):
        pause = threading.Event()
        while True:
            try:
                pause_s = self._step()
            except Exception as error:  # noqa: BLE001
                log_failure(f"watch {self._kind}", error)
                self._revision, pause_s = None, self._wait_s
            pause.wait(min(pause_s, self._gap_s))
            # A longer pause ends when this node becomes the one that reads for all.
            if pause_s > self._gap_s:
                self._wake.wait(pause_s - self._gap_s)
                self._wake.clear()

    def _step(self):
        """Make a call, or wait while none is due; return the pause, in seconds."""
        if self._is_relayed():
            # The next listing includes the changes made in the meantime.
            self._revision, held_s = None, self._relayed_for_s()
        elif self._own_reads.is_held(self._read_age_s(), self._limit_s):
            held_s = _RELAYED_POLL_S
        else:
            held_s = min(self._backoff.wait_s(), _RELAYED_POLL_S)
            if held_s <= 0:
                return self.poll_once()
        self._wake.wait(held_s)
        self._wake.clear()
        return 0.0

    def _read_age_s(self):
        if self._answer_sent_at is None:
            return None
        return self._clock() - self._answer_sent_at

    def _poll(self):
        sent_at = self._clock()
        if self._revision is None:
            listing = self._store.list(self._kind)
            self._record_answer(sent_at)
            self._handler.on_listing(listing.objects, sent_at)
            self._revision = listing.revision
            return
        changes = self._store.watch(self._kind, self._revision, self._wait_s)
        self._record_answer(sent_at)
        self._handler.on_changes(changes.events, sent_at)
        if changes.events and self.lists_after_changes:
            self._revision = None
        elif changes.events:
            # A watch that lost changes may return a revision beyond them, so only the
            # revisions of delivered changes count.
            newest = max(stored.revision for _, stored in changes.events)
            self._revision = max(self._revision, newest)

    def _record_outage(self, error):
        if self._outage_since is not None:
            return
        self._outage_since = self._clock()
        fields = {"kind": self._kind, "step": error.step, "reason": error.reason}
        write_records([(STORE_LOST, fields)])
        self.on_store_lost()

    def _record_answer(self, sent_at):
        self._answer_sent_at = sent_at
        self._backoff.record_answer()
        if self._outage_since is None:
            return
        away_s = round(self._clock() - self._outage_since, 3)
        self._outage_since = None
        write_records([(STORE_REGAINED, {"kind": self._kind, "away_s": away_s})])
        self._handler.on_store_returned()
