"""Max-min fair division of a target's concurrency over labels and nodes."""

__all__ = ["divide", "progressive_fill"]


def progressive_fill(capacity, wanted, priority):
    """Divide whole units by max-min fairness (progressive filling).

    Parameters
    ----------
    capacity : int
        Units to divide.
    wanted : dict
        Maximum units that each key can use.
    priority : callable
        Sort key; if there are fewer units than keys, the first keys in this order
        get one unit each.

    Returns
    -------
    dict
        Units of each key; keys that get none are omitted.
    """
    order = sorted((k for k, units in wanted.items() if units > 0), key=priority)
    levels = dict.fromkeys(order[: max(capacity, 0)], 1)
    left = capacity - len(levels)
    unfilled = [k for k in levels if wanted[k] > 1]
    while left > 0 and unfilled:
        step = max(1, left // len(unfilled))
        for k in unfilled:
            extra = min(step, wanted[k] - levels[k], left)
            levels[k] += extra
            left -= extra
        unfilled = [k for k in unfilled if wanted[k] > levels[k]]
    return levels


def divide(capacity, wanted, priority):
    """Divide units over labels, then the units of each label over its nodes.

    Parameters
    ----------
    capacity : int
        Units of concurrency of the target.
    wanted : dict of (label, node) to int
        Maximum units that each node can use for each label.
    priority : callable
        Sort key of a (label, node); the lowest is served first.

    Returns
    -------
    dict of (label, node) to int
    """
    by_label = {}
    for (label, node), units in wanted.items():
        if units > 0:
            by_label.setdefault(label, {})[label, node] = units
    totals = {label: sum(by_node.values()) for label, by_node in by_label.items()}

    def label_priority(label):
        return min(priority(key) for key in by_label[label])

    levels = {}
    for label, units in progressive_fill(capacity, totals, label_priority).items():
        levels.update(progressive_fill(units, by_label[label], priority))
    return levels
