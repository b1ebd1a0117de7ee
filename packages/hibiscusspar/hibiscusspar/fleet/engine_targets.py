"""Targets of services that run on engines, which get orders to load adapters."""

__all__ = ["EngineTargets"]


class EngineTargets:
    """Targets of services with an engine, outside evacuated zones.

    They are selected anew only if the directory or the configuration has changed, as
    the coordinator plans up to 50 times a second.
    """

    def __init__(self):
        self._rows = {}
        self._services = []
        self._orderable = {}

    @property
    def rows(self):
        """Target and ``EngineRule`` by target id."""
        return self._rows

    @property
    def services(self):
        """Names of the services of these targets, in order."""
        return self._services

    def select(self, ruleset, targets, evacuated):
        """Select the targets from the whole directory.

        Parameters
        ----------
        ruleset : Ruleset or None
        targets : dict of str to Target
        evacuated : set of str
            Zones that are evacuated.
        """
        services = ruleset.services if ruleset is not None else {}
        engines = {name: rule.engine for name, rule in services.items() if rule.engine}
        self._rows = {
            target_id: (target, engines[target.service])
            for target_id, target in targets.items()
            if target.service in engines and target.zone not in evacuated
        }
        self._services = sorted({target.service for target, _ in self._rows.values()})
        self._orderable = {}

    def orderable(self, zones, duty_zone):
        """Return the rows of the targets that may get orders.

        Parameters
        ----------
        zones : frozenset of str
            Zones whose duty holders may send orders.
        duty_zone : callable
            Returns the zone whose duty holder sends orders to a target.
        """
        if zones not in self._orderable:
            self._orderable = {
                zones: {
                    target_id: row
                    for target_id, row in self._rows.items()
                    if not row[0].draining and duty_zone(row[0]) in zones
                }
            }
        return self._orderable[zones]
