"""Which VMs and zones this VM can't reach, judged by its own exchanges."""

__all__ = ["Reach"]

FAILURES_TO_DOUBT = 2
VMS_TO_DOUBT_ZONE = 2


class Reach:
    """Failed exchanges since the last direct sign of each VM and each zone.

    A zone is doubted when exchanges failed with two different VMs of it, or with
    its only VM, and nothing came from any of its VMs since.
    """

    def __init__(self):
        self._failures = {}
        self._zone_failures = {}

    def note(self, vm, zone, ok, zone_size):
        """Take note of the outcome of an exchange, or of a message received.

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
        row[0] = min(zone_size, VMS_TO_DOUBT_ZONE)
        row[1].add(vm)

    def doubts(self, vm, zone):
        """Return whether a VM seems out of reach from here."""
        if self._failures.get(vm, 0) >= FAILURES_TO_DOUBT:
            return True
        needed, failed = self._zone_failures.get(zone, (1, ()))
        return len(failed) >= needed

    def forget(self, vm):
        """Drop a VM that has left."""
        self._failures.pop(vm, None)
        for _, failed in self._zone_failures.values():
            failed.discard(vm)
