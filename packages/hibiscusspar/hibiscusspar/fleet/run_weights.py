"""Weights that made the state of a run, and whether a target holds the same ones."""

from enum import Enum
from typing import NamedTuple

__all__ = ["Holding", "RunWeights", "compare_weights", "find_weights"]


class RunWeights(NamedTuple):
    """Version of the model that made the state of a run."""

    model: int


class Holding(Enum):
    """Whether a target holds the weights of a run, as far as it says."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


def find_weights(key, stated, state):
    """Return the weights of a run, or None if they aren't known.

    Parameters
    ----------
    key : tuple of str
        Model and adapter of the request.
    stated : int or None
        Version of the model that the head of the run's answer states.
    state : TargetState or None
        State that its target has reported since the run began.

    Returns
    -------
    RunWeights or None
    """
    model = stated
    if model is None and state is not None:
        model = state.models.get(key[0])
    return None if model is None else RunWeights(model)


def compare_weights(key, weights, state):
    """Return whether a target holds the weights of a run.

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
    return Holding.SAME if model == weights.model else Holding.OTHER
