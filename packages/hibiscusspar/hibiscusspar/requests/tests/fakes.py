"""Fakes of members and of the platform for tests."""

from hibiscusspar.outbox import PlatformResult
from hibiscusspar.ports import Member


class FakeMembers:
    def __init__(self, vm, others=()):
        self.vm = vm
        self.zone = "z"
        self.others = list(others)

    def live(self, zone=""):
        return [Member(vm, "z", "127.0.0.1:1") for vm in [self.vm, *self.others]]

    def suspected(self, vm):
        return False


class FakePlatform:
    """Objects with versions; the test decides when each call is applied."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.writes = 0
        self.calls = 0

    def apply(self, call):
        self.calls += 1
        value, version = self.objects.get(call.name, (None, 0))
        if call.operation == "get":
            outcome = "ok" if version else "missing"
            return PlatformResult(call.call_id, outcome, value, version)
        self.writes += 1
        if call.operation == "update" and not version:
            return PlatformResult(call.call_id, "missing")
        if call.version != version:
            return PlatformResult(call.call_id, "conflict", None, version)
        self.version += 1
        self.objects[call.name] = (call.value, self.version)
        return PlatformResult(call.call_id, "ok", None, self.version)
