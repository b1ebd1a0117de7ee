"""Comparison of the weights of running streams with those that targets report."""

import threading

from hibiscusspar.fleet.run_weights import Holding, compare_weights, find_weights

__all__ = ["WeightsCheck"]

# Age in seconds that the content of a report may have when it arrives; the platform
# says some hundred milliseconds.
_REPORT_AGE_S = 0.5
# Times in seconds for which reports are kept. Those of sources hold for as long as the
# runs that they show; a destination may start again at any time.
_SOURCE_S = 1.0
_DESTINATION_S = 0.25


class WeightsCheck:
    """Weights of runs and targets, as the targets themselves tell.

    The directory is no source for them: a target that is cut off from the store may
    have started again under its id, and one that has just loaded isn't listed yet.

    Parameters
    ----------
    clock : callable
    read_state : callable
        Returns the ``TargetState`` that a target reports, or None.
    """

    def __init__(self, clock, read_state):
        self._clock = clock
        self._read_state = read_state
        self._lock = threading.Lock()
        # Times of the queries and states, by target.
        self._reports = {}

    def learn(self, run):
        """Find the weights of a run; return whether they are known.

        A report counts only if its content is newer than the first event of the run.
        """
        if not run.is_of_one_version:
            return False
        if run.weights is not None:
            return True
        state = None
        if run.model_version is None or run.expects_any_version:
            since = run.began_at + _REPORT_AGE_S
            if self._clock() >= since:
                state = self._report(run.placement.target, since, _SOURCE_S)
        run.weights = find_weights(
            run.key, run.model_version, run.placement.version, state
        )
        return run.weights is not None

    def compare(self, run, target):
        """Return the ``Holding`` of the weights of a run at a destination."""
        run.compared_at = self._clock()
        state = self._report(target, 0.0, _DESTINATION_S)
        if state is None:
            return Holding.UNKNOWN
        return compare_weights(run.key, run.weights, state)

    def _report(self, target, since, kept_s):
        """Return the state of a target, as of a query after a time, or None."""
        now, name = self._clock(), target.target_id
        with self._lock:
            at, state = self._reports.get(name, (float("-inf"), None))
            # A target that doesn't answer is soon asked again.
            kept_s = _DESTINATION_S if state is None else kept_s
            if at >= since and now < at + kept_s:
                return state
        state = self._read_state(target)
        with self._lock:
            self._reports = {
                known: row
                for known, row in self._reports.items()
                if now < row[0] + _SOURCE_S
            }
            self._reports[name] = (now, state)
        return state
