"""Choice of the base models that targets load.

Targets start and restart empty, possibly during a load spike. A target that holds no
model loads the one with the fewest copies for its demand, no faster than the weight
store allows.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["LoadPace", "ModelNeed", "choose_model"]

# The platform counts loads over windows of five seconds; a share is kept back for
# loads that another coordinator started.
_WINDOW_S = 5.0
_SHARE = 0.8


class ModelNeed(NamedTuple):
    """Copies of a model, loaded or loading, and requests that wait for it."""

    copies: int
    waiting: int


class LoadPace:
    """Sliding-window rate limit on loads of models, over all targets."""

    def __init__(self):
        self._begun = deque()

    def allow(self, now, loads_per_s):
        """Return whether one more load may start now, and count it if so."""
        while self._begun and self._begun[0] < now - _WINDOW_S:
            self._begun.popleft()
        if len(self._begun) + 1 > max(1.0, loads_per_s * _WINDOW_S * _SHARE):
            return False
        self._begun.append(now)
        return True


def choose_model(engine, resident, needs):
    """Return the model that a target should load next, or None if none fits.

    Parameters
    ----------
    engine : EngineRule
    resident : collection of str
        Models that the target holds or loads.
    needs : dict of str to ModelNeed

    Returns
    -------
    ModelRule or None
    """
    used_mb = sum(model.weights_mb for model in engine.models if model.name in resident)
    fitting = [
        model
        for model in engine.models
        if model.name not in resident
        and used_mb + model.weights_mb <= engine.weights_mb
    ]

    def urgency(model):
        need = needs.get(model.name, ModelNeed(0, 0))
        return ((need.waiting + 1) / (need.copies + 1), -model.load_s, model.name)

    return max(fitting, key=urgency, default=None)
