"""Permits to load: the weight store's limits divided over zones and owners.

A permit is one unit of concurrency of a pseudo-target ``weight-store/ZONE``, so it is
granted, recalled and taken over like any other unit. A permit has a cooldown after
use, which limits the loads per second as well as the loads in transit.
"""

from hibiscusspar.config.model import TargetSpec

__all__ = ["STORE_PREFIX", "Permits", "store_name", "store_specs"]

STORE_PREFIX = "weight-store/"
BORROW_S = 0.4


def store_name(zone):
    """Return the name of the pseudo-target of a zone's permits."""
    return STORE_PREFIX + zone


def store_specs(configuration, zones_of_targets):
    """Return the pseudo-targets by name, with the permits divided over the zones.

    Each zone gets permits in proportion to its engine targets, by the largest
    remainder method.

    Parameters
    ----------
    configuration : Configuration
    zones_of_targets : list of str
        Zone of each engine target.

    Returns
    -------
    dict of str to TargetSpec
    """
    units = configuration.weight_store.max_in_transit
    zones = sorted(set(zones_of_targets))
    exact = {
        z: units * zones_of_targets.count(z) / len(zones_of_targets) for z in zones
    }
    whole = {z: int(exact[z]) for z in zones}
    left = units - sum(whole.values())
    by_rest = sorted(zones, key=lambda z: (whole[z] - exact[z], z))
    for zone in by_rest[:left]:
        whole[zone] += 1
    return {
        store_name(z): TargetSpec(store_name(z), "", "", z, concurrency=whole[z])
        for z in zones
    }


class Permits:
    """Permits that this node may use to order loads.

    Parameters
    ----------
    zone : str
    holder : HolderTable
    """

    def __init__(self, zone, holder):
        self._own = store_name(zone)
        self._holder = holder
        self._stores = []
        self._cooldown_s = 0.0
        self._resting = []
        self._short_since = None
        self.wanted = {}

    def configure(self, configuration, stores):
        """Replace the limits of the weight store and the names of the permit stores."""
        limits = configuration.weight_store
        self._cooldown_s = limits.max_in_transit / max(limits.loads_per_s, 1e-9)
        rest = sorted(set(stores) - {self._own})
        self._stores = [name for name in [self._own] if name in stores] + rest

    def take(self):
        """Take a permit; return the name of its store, empty if there is none."""
        for store in self._stores:
            hold = self._holder.hold(store, "")
            if hold is not None and hold.free:
                self._holder.take(store, "")
                return store
        return ""

    def give_back(self, now, store, started):
        """End the use of a permit and start its cooldown.

        A permit may be used once in ``max_in_transit / loads_per_s`` seconds, so all
        permits together allow ``loads_per_s``.
        """
        ready = max(now, started + self._cooldown_s)
        self._resting.append((ready, store))

    def rested(self, now):
        """Return the store of each permit whose cooldown has ended."""
        done = [store for ready, store in self._resting if ready <= now]
        self._resting = [entry for entry in self._resting if entry[0] > now]
        return done

    def want(self, now, short):
        """Set ``wanted`` to the permits wanted of each store.

        Permits of other zones are wanted once a load has waited ``BORROW_S`` seconds.

        Parameters
        ----------
        now : float
        short : int
            Number of loads that wait for a permit.
        """
        if not short:
            self._short_since = None
        elif self._short_since is None:
            self._short_since = now
        borrow = short and now - self._short_since >= BORROW_S
        self.wanted = {}
        for store in self._stores:
            hold = self._holder.hold(store, "")
            used = hold.in_use if hold else 0
            more = short if store == self._own or borrow else 0
            self.wanted[store] = used + more
