"""Max-min division of a target's concurrency over adapters and nodes."""

__all__ = ["divide", "fill"]


def fill(capacity, wanted, turn):
    """Divide whole units so that the least served gets as much as possible.

    Parameters
    ----------
    capacity : int
        Units to divide.
    wanted : dict
        Key to the most units it can use.
    turn : callable
        Sort key; when there are fewer units than keys, the first in this order
        get one each.

    Returns
    -------
    dict
        Key to units; keys that get none are left out.
    """
    order = sorted((k for k, units in wanted.items() if units > 0), key=turn)
    levels = dict.fromkeys(order[: max(capacity, 0)], 1)
    left = capacity - len(levels)
    open_keys = [k for k in levels if wanted[k] > 1]
    while left > 0 and open_keys:
        step = max(1, left // len(open_keys))
        for k in open_keys:
            extra = min(step, wanted[k] - levels[k], left)
            levels[k] += extra
            left -= extra
        open_keys = [k for k in open_keys if wanted[k] > levels[k]]
    return levels


def divide(capacity, wanted, turn):
    """Divide units over labels first, then over the nodes of each label.

    Parameters
    ----------
    capacity : int
        Units of concurrency of the target.
    wanted : dict of (label, node) to int
        Units that each node could use for each label.
    turn : callable
        Sort key over (label, node); the lowest is served first.

    Returns
    -------
    dict of (label, node) to int
    """
    by_label = {}
    for (label, node), units in wanted.items():
        if units > 0:
            by_label.setdefault(label, {})[label, node] = units
    totals = {label: sum(part.values()) for label, part in by_label.items()}

    def label_turn(label):
        return min(turn(key) for key in by_label[label])

    levels = {}
    for label, units in fill(capacity, totals, label_turn).items():
        levels.update(fill(units, by_label[label], turn))
    return levels
