"""In-memory platform for tests, with lost answers and outages."""

import copy

from hibiscusspar_wire.platform_client import (
    ObjectEvent,
    ObjectList,
    StoredObject,
    VmList,
    VmRow,
    WatchAnswer,
)
from hibiscusspar_wire.platform_errors import (
    ConflictError,
    MissingError,
    RefusedError,
    UnknownOutcomeError,
)


class FakePlatform:
    """In-memory platform whose calls fail as ``faults`` says.

    Each call removes the first item of ``faults``: ``"ok"``, ``"refused"``,
    ``"lost"`` (takes effect, answer lost), ``"dropped"`` (no effect, answer lost),
    or a callable that runs before the call.
    """

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.faults = []
        self.unavailable = False
        self.calls = 0
        self.vm_rows = {}
        self.vm_version = 0

    def get(self, kind, name):
        self._apply_fault("get")
        found = self.objects.get((kind, name))
        if found is None:
            return None
        return StoredObject(name, copy.deepcopy(found[0]), found[1])

    def list(self, kind):
        self._apply_fault("list")
        items = [
            StoredObject(n, copy.deepcopy(value), version)
            for (k, n), (value, version) in sorted(self.objects.items())
            if k == kind
        ]
        return ObjectList(items, self.version)

    def create(self, kind, name, value):
        lost = self._apply_fault("create")
        if (kind, name) in self.objects:
            return self._fail(lost, ConflictError("create", name, "exists"))
        return self._store(kind, name, value, lost)

    def update(self, kind, name, value, version):
        lost = self._apply_fault("update")
        error = self._mismatch("update", kind, name, version)
        return self._fail(lost, error) or self._store(kind, name, value, lost)

    def delete(self, kind, name, version):
        lost = self._apply_fault("delete")
        self._fail(lost, self._mismatch("delete", kind, name, version))
        del self.objects[kind, name]
        self.version += 1
        if lost:
            raise UnknownOutcomeError("delete", name, "answer lost")

    def watch(self, kind, since, timeout_s):
        self._apply_fault("watch")
        events = [
            ObjectEvent(n, version)
            for (k, n), (_, version) in self.objects.items()
            if k == kind and version > since
        ]
        return WatchAnswer(events, self.version)

    def vms(self):
        self._apply_fault("vms")
        return VmList(list(self.vm_rows.values()), self.vm_version)

    def set_vm(self, vm, zone="z", address="127.0.0.1:1", state="live"):
        self.vm_version += 1
        self.vm_rows[vm] = VmRow(vm, zone, address, state)

    def remove_vm(self, vm):
        self.vm_version += 1
        self.vm_rows.pop(vm, None)

    def _store(self, kind, name, value, lost):
        self.version += 1
        self.objects[kind, name] = (copy.deepcopy(value), self.version)
        if lost:
            raise UnknownOutcomeError("write", name, "answer lost")
        return self.version

    def _mismatch(self, step, kind, name, version):
        found = self.objects.get((kind, name))
        if found is None:
            return MissingError(step, name, "no such object")
        if found[1] != version:
            return ConflictError(step, name, "changed", found[1])
        return None

    def _fail(self, lost, error):
        if error is not None:
            if lost:
                raise UnknownOutcomeError("write", "", "answer lost")
            raise error

    def _apply_fault(self, step):
        """Apply the next fault; return whether the answer is lost."""
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else "ok"
        if callable(fault):
            fault()
            fault = "ok"
        if self.unavailable or fault == "refused":
            raise RefusedError(step, "platform", "outage")
        if fault in ("lost", "dropped"):
            if step in ("get", "list", "watch", "vms"):
                raise RefusedError(step, "platform", "no answer")
            if fault == "dropped":
                raise UnknownOutcomeError(step, "platform", "no answer")
        return fault == "lost"
