"""Whether one node has a path to the targets of each service.

A target that fails may have failed itself. Only if none of several targets of a
service can be connected to, one after the other, is the path of the node taken to be
cut. It is taken to be back once two targets in a row accept connections, so that no
caller's request is used to find out.
"""

from typing import NamedTuple

__all__ = ["PathPolicy", "PathTable"]


class PathPolicy(NamedTuple):
    """Settings of the detection; times in seconds.

    ``silence_s`` is the time without any answer of a service, while requests wait for
    some, after which its path is checked. ``check_gap_s`` is the shortest time between
    two checks of a service, and ``recheck_s`` that while its path is cut. ``fresh_s``
    is the time for which an answer proves a path to other nodes. It is shorter than the
    detection takes, so that nodes that lose their paths together don't offer them to
    each other. ``tries`` is the number of targets that a check tries, and
    ``tries_to_return`` that of those that end a cut.
    """

    silence_s: float = 1.0
    check_gap_s: float = 0.5
    recheck_s: float = 0.4
    fresh_s: float = 0.6
    tries: int = 3
    tries_to_return: int = 2


class _Path:
    """Path to the targets of one service."""

    def __init__(self):
        self.is_cut = False
        self.is_suspected = False
        self.reached_at = None
        self.checked_at = None
        # Time of the first request sent since the last answer.
        self.unanswered_since = None


class PathTable:
    """Paths of a node to the targets of each service.

    Parameters
    ----------
    policy : PathPolicy, optional
    """

    def __init__(self, policy=None):
        self._policy = policy or PathPolicy()
        self._paths = {}

    @property
    def cut_services(self):
        """Services whose targets the node can't reach, in sorted order."""
        return sorted(name for name, path in self._paths.items() if path.is_cut)

    def is_cut(self, service):
        """Return whether the path to a service is cut."""
        path = self._paths.get(service)
        return path is not None and path.is_cut

    def is_proven(self, now, service):
        """Return whether a target of a service was reached lately."""
        path = self._paths.get(service)
        return (
            path is not None
            and not path.is_cut
            and path.reached_at is not None
            and now < path.reached_at + self._policy.fresh_s
        )

    def record_sent(self, now, service):
        """Record that a request was sent to a target over the node's own links."""
        path = self._path(service)
        if path.unanswered_since is None:
            path.unanswered_since = now

    def record_answer(self, now, service):
        """Record that a target answered over the node's own links.

        A connection opened before the cut may live on, so an answer doesn't end a cut.
        """
        path = self._path(service)
        path.unanswered_since = None
        path.reached_at = now

    def record_failure(self, service):
        """Record that an attempt failed, which calls for a check of the path."""
        self._path(service).is_suspected = True

    def request_check(self, service):
        """Ask for a check because another node wants to know about the path."""
        self._path(service).is_suspected = True

    def due_checks(self, now):
        """Return the services whose paths must be checked now."""
        policy = self._policy
        due = []
        for service, path in self._paths.items():
            since = path.unanswered_since
            is_silent = since is not None and now >= since + policy.silence_s
            if not (path.is_cut or path.is_suspected or is_silent):
                continue
            gap_s = policy.recheck_s if path.is_cut else policy.check_gap_s
            if path.checked_at is None or now >= path.checked_at + gap_s:
                path.checked_at = now
                due.append(service)
        return due

    def tries(self, service):
        """Return how many targets a check tries, and whether it ends with a success.

        A check that may show a cut ends with the first target that is reached; one that
        may show the end of a cut ends with the first that isn't.
        """
        if self.is_cut(service):
            return self._policy.tries_to_return, False
        return self._policy.tries, True

    def record_check(self, now, service, is_reached):
        """Record the result of a check.

        Parameters
        ----------
        now : float
        service : str
        is_reached : bool

        Returns
        -------
        bool
            Whether the path was cut, or is back.
        """
        path = self._path(service)
        changed = path.is_cut == is_reached
        path.is_cut = not is_reached
        path.is_suspected = False
        path.checked_at = now
        if is_reached:
            path.reached_at = now
            if path.unanswered_since is not None:
                path.unanswered_since = now
        return changed

    def retain(self, services):
        """Drop the paths of other services."""
        self._paths = {s: path for s, path in self._paths.items() if s in services}

    def _path(self, service):
        return self._paths.setdefault(service, _Path())
