"""Targets of the coordinator by service."""

__all__ = ["ServiceTargets"]


class ServiceTargets:
    """Ids of the targets that may get orders, by service.

    They are grouped anew only if the dict of targets is another one, as the coordinator
    plans up to 50 times a second.
    """

    def __init__(self):
        self._targets = None
        self._groups = {}

    def engines(self, targets, free):
        """Return the engine of each service with a free target.

        Parameters
        ----------
        targets : dict of str to tuple of (Target, EngineRule)
            Targets that may get orders; callers don't change it.
        free : collection of str
        """
        if targets is not self._targets:
            self._targets, self._groups = targets, {}
            for target_id, (target, engine) in targets.items():
                group = self._groups.setdefault(target.service, (engine, []))
                group[1].append(target_id)
        return {
            service: engine
            for service, (engine, target_ids) in self._groups.items()
            if any(target_id in free for target_id in target_ids)
        }
