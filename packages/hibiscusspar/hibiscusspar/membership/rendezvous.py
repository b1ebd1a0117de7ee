"""Rendezvous hashing: each name has its own evenly distributed ranking of the VMs.

When a VM is added or removed, the order of the others stays.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from xxhash import xxh3_64_intdigest

__all__ = ["first", "ranked"]


def ranked(name, vms):
    """Return the VMs ranked by a hash of the name and the VM, highest first."""
    return sorted(vms, key=lambda vm: (-_weight(name, vm), vm))


def first(name, vms):
    """Return the VM ranked first for a name, or an empty string if there is none."""
    return max(vms, key=lambda vm: (_weight(name, vm), vm), default="")


def _weight(name, vm):
    return xxh3_64_intdigest(f"{name}\0{vm}".encode())
