"""Replacement of the driver of moved streams for services without moves."""

__all__ = ["NoMoves"]


class NoMoves:
    """Replacement of a ``StreamMover`` where no stream moves."""

    def begin(
        self, admitted, state, placement, connection, response, model_version=None
    ):
        """Ignore the first event of a stream."""

    def record_version(self, state, model_version):
        """Ignore a version that an event states."""

    def follow(self, state, failure):
        """Return False: the attempt has failed."""
        return False

    def is_moving(self, state):
        """Return False: no stream moves."""
        return False

    def complete(self, state):
        """Ignore the end of a stream."""

    def end(self, state):
        """Ignore the end of a request."""
