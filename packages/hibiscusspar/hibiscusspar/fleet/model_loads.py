"""Choice of the base models that targets load.

Targets start and restart empty, possibly during a load spike. A target that holds no
model loads the one with the fewest copies for its demand, no faster than the weight
store allows.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["LoadRateLimiter", "ModelDemand", "choose_model"]

# The platform counts loads over windows of five seconds; a share is kept back for
# loads that another coordinator started.
_WINDOW_S = 5.0
_RATE_SHARE = 0.8


class ModelDemand(NamedTuple):
    """Copies of a model, loaded or loading, and requests that wait for it."""

    copies: int
    waiting: int


class LoadRateLimiter:
    """Sliding-window rate limit on loads of models, over all targets."""

    def __init__(self):
        self._load_times = deque()

    def allow(self, now, loads_per_s):
        """Return whether one more load may start now, and count it if so."""
        while self._load_times and self._load_times[0] < now - _WINDOW_S:
            self._load_times.popleft()
        if len(self._load_times) + 1 > max(1.0, loads_per_s * _WINDOW_S * _RATE_SHARE):
            return False
        self._load_times.append(now)
        return True


def choose_model(engine, resident, demands):
    """Return the model that a target should load next, or None if none fits.

    Parameters
    ----------
    engine : EngineRule
    resident : collection of str
        Models that the target holds or loads.
    demands : dict of str to ModelDemand
        Demand by name of the model.

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
        demand = demands.get(model.name, ModelDemand(0, 0))
        return ((demand.waiting + 1) / (demand.copies + 1), -model.load_s, model.name)

    return max(fitting, key=urgency, default=None)
