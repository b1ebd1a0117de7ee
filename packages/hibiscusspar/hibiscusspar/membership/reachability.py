"""Detection of VMs and zones that this VM can't reach, from its own exchanges."""

__all__ = ["Reachability"]

MIN_VM_FAILURES = 2
MIN_FAILED_VMS_OF_ZONE = 2


class Reachability:
    """Failed exchanges since the last direct contact with each VM and each zone.

    A zone counts as unreachable when exchanges failed with two different VMs of
    it, or with its only VM, and no message came from any of its VMs since.
    """

    def __init__(self):
        self._failures = {}
        self._zone_failures = {}

    def record(self, vm, zone, ok, zone_size):
        """Record the outcome of an exchange, or a received message as a success.

        Parameters
        ----------
        vm, zone : str
        ok : bool
        zone_size : int
            Number of VMs of the zone.
        """
        if ok:
            self._failures.pop(vm, None)
            self._zone_failures.pop(zone, None)
            return
        self._failures[vm] = self._failures.get(vm, 0) + 1
        row = self._zone_failures.setdefault(zone, [0, set()])
        row[0] = min(zone_size, MIN_FAILED_VMS_OF_ZONE)
        row[1].add(vm)

    def is_unreachable(self, vm, zone):
        """Return whether a VM or its zone seems unreachable from here."""
        if self._failures.get(vm, 0) >= MIN_VM_FAILURES:
            return True
        needed, failed = self._zone_failures.get(zone, (1, ()))
        return len(failed) >= needed

    def remove(self, vm):
        """Remove a VM that has left."""
        self._failures.pop(vm, None)
        for _, failed in self._zone_failures.values():
            failed.discard(vm)
