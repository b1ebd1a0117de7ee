"""Index of the directory of targets, by what requests look for."""

__all__ = ["TargetIndex"]

_NONE = {}


class TargetIndex:
    """Targets by service, by model and by the adapters of their entries.

    Directories change by a few entries at a time, so only these are indexed anew. The
    dicts that the methods return change with the directory; callers only read them.
    """

    def __init__(self):
        self._targets = {}
        self._staying = {}
        self._serving = {}
        self._listing = {}

    def replace(self, targets):
        """Replace the directory, given as a dict by id."""
        for target_id in self._targets.keys() - targets.keys():
            self._remove(self._targets[target_id])
        for target_id, target in targets.items():
            known = self._targets.get(target_id)
            if known is target:
                continue
            if known is not None:
                self._remove(known)
            self._add(target)
        # The caller may change its dict in place.
        self._targets = dict(targets)

    def staying(self, service):
        """Return the targets of a service that are not leaving, by id."""
        return self._staying.get(service, _NONE)

    def serving(self, service, model):
        """Return the version of a model by id of the targets that are not leaving."""
        return self._serving.get((service, model), _NONE)

    def listing(self, key):
        """Return the ids of the targets whose entries list an adapter, as dict keys."""
        return self._listing.get(key, _NONE)

    def _add(self, target):
        for table, key, value in self._rows(target):
            table.setdefault(key, {})[target.target_id] = value

    def _remove(self, target):
        for table, key, _ in self._rows(target):
            del table[key][target.target_id]
            if not table[key]:
                del table[key]

    def _rows(self, target):
        """Yield the table, the key and the value of each row of a target."""
        if target.draining:
            return
        yield self._staying, target.service, target
        for model, version in target.models.items():
            yield self._serving, (target.service, model), version
        for key in target.adapters:
            yield self._listing, key, True
