"""Weights that made the state of a run, and whether a target holds the same ones."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Holding", "RunWeights", "compare_weights", "find_weights"]


class RunWeights(NamedTuple):
    """Versions of the model and the adapter that made the state of a run.

    ``adapter`` is None if the request names none.
    """

    model: int
    adapter: int | None = None

    @property
    def expected(self):
        """Version that a target compares: that of the adapter, or else of the model."""
        return self.model if self.adapter is None else self.adapter


class Holding(Enum):
    """Whether a target holds the weights of a run, as far as it says."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


def find_weights(key, stated, placed, state):
    """Return the weights of a run, or None if they aren't known.

    Parameters
    ----------
    key : tuple of str
        Model and adapter of the request.
    stated : int or None
        Version of the model that the head of the run's answer states.
    placed : int
        Version that the request expected of its target, 0 for any.
    state : TargetState or None
        State that its target has reported since the run began.

    Returns
    -------
    RunWeights or None
    """
    model, adapter = stated, placed or None
    if state is not None:
        model = state.models.get(key[0]) if model is None else model
        adapter = state.adapters.get(key) if adapter is None else adapter
    if model is None or (key[1] and adapter is None):
        return None
    return RunWeights(model, adapter if key[1] else None)


def compare_weights(key, weights, state):
    """Return whether a target holds the weights of a run.

    An adapter that it has just loaded may be missing in its state. It compares the
    version of the adapter itself, so only another one that it reports matters.

    Parameters
    ----------
    key : tuple of str
        Model and adapter of the request.
    weights : RunWeights
    state : TargetState or None
        State that the target has reported lately.

    Returns
    -------
    Holding
    """
    model = None if state is None else state.models.get(key[0])
    if model is None:
        return Holding.UNKNOWN
    found = {state.adapters.get(key), state.pending.get(key)} - {None}
    is_same = model == weights.model and found <= {weights.adapter}
    return Holding.SAME if is_same else Holding.OTHER
