"""Rendezvous hashing: each name ranks the VMs on its own, evenly and stably.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from xxhash import xxh3_64_intdigest

__all__ = ["first", "ranked"]


def ranked(name, vms):
    """Return the VMs, best first, by a hash of the name and the VM."""
    return sorted(vms, key=lambda vm: (-_weight(name, vm), vm))


def first(name, vms):
    """Return the best VM for a name, or an empty string if there is none."""
    return max(vms, key=lambda vm: (_weight(name, vm), vm), default="")


def _weight(name, vm):
    return xxh3_64_intdigest(f"{name}\0{vm}".encode())
