"""Permits to load: the weight store's limits divided over zones and owners.

A permit is one unit of concurrency of a pseudo-target ``weight-store/ZONE``, so it is
granted, recalled and taken over like any other unit. A permit has a cooldown after
use, which limits the loads per second as well as the loads in transit.
"""

from hibiscusspar.config.model import TargetSpec

__all__ = ["STORE_PREFIX", "Permits", "store_name", "store_specs"]

STORE_PREFIX = "weight-store/"
BORROW_AFTER_S = 0.4


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
    by_remainder = sorted(zones, key=lambda z: (whole[z] - exact[z], z))
    for zone in by_remainder[:left]:
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
    grants : HeldGrantTable
    """

    def __init__(self, zone, grants):
        self._own_store = store_name(zone)
        self._grants = grants
        self._stores = []
        self._cooldown_s = 0.0
        self._cooling_down = []
        self._waiting_since = None
        self.wanted = {}

    def configure(self, configuration, stores):
        """Replace the limits of the weight store and the names of the permit stores."""
        limits = configuration.weight_store
        self._cooldown_s = limits.max_in_transit / max(limits.loads_per_s, 1e-9)
        others = sorted(set(stores) - {self._own_store})
        self._stores = [name for name in [self._own_store] if name in stores] + others

    def acquire(self):
        """Acquire a permit; return the name of its store, empty if there is none."""
        for store in self._stores:
            grant = self._grants.get(store, "")
            if grant is not None and grant.free:
                self._grants.acquire(store, "")
                return store
        return ""

    def release(self, now, store, started):
        """End the use of a permit and start its cooldown.

        A permit may be used once in ``max_in_transit / loads_per_s`` seconds, so all
        permits together allow ``loads_per_s``.
        """
        ready = max(now, started + self._cooldown_s)
        self._cooling_down.append((ready, store))

    def take_cooled_down(self, now):
        """Return the store of each permit whose cooldown has ended."""
        done = [store for ready, store in self._cooling_down if ready <= now]
        self._cooling_down = [entry for entry in self._cooling_down if entry[0] > now]
        return done

    def set_wanted(self, now, waiting_loads):
        """Set ``wanted`` to the permits wanted of each store.

        Permits of other zones are wanted once a load has waited for
        ``BORROW_AFTER_S`` seconds.

        Parameters
        ----------
        now : float
        waiting_loads : int
            Number of loads that wait for a permit.
        """
        if not waiting_loads:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now
        may_borrow = waiting_loads and now - self._waiting_since >= BORROW_AFTER_S
        self.wanted = {}
        for store in self._stores:
            grant = self._grants.get(store, "")
            used = grant.in_use if grant else 0
            more = waiting_loads if store == self._own_store or may_borrow else 0
            self.wanted[store] = used + more
