"""The members as a VM knows them before it has heard of any other."""

from hibiscusspar.ports import Member

__all__ = ["LocalMembers"]


class LocalMembers:
    """Members with this VM alone.

    Parameters
    ----------
    vm, zone, address : str
    """

    def __init__(self, vm, zone, address):
        self.vm = vm
        self.zone = zone
        self._self = Member(vm, zone, address)

    def live(self, zone=""):
        """Return this VM, if it is of the zone."""
        return [self._self] if zone in ("", self.zone) else []

    def suspected(self, vm):
        """Return whether nothing was heard of a VM; always False."""
        return False
