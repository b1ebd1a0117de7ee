"""Delivery of messages: to peers by the outbox, to this node itself at once."""

from collections import deque

__all__ = ["Post"]


class Post:
    """Sends messages and keeps those that this node has for itself.

    Parameters
    ----------
    vm : str
        The VM of this node.
    """

    def __init__(self, vm):
        self._vm = vm
        self._local = deque()

    def send(self, out, peer, message):
        """Send a message to a VM, which may be this one."""
        if peer == self._vm:
            self._local.append(message)
        else:
            out.send(peer, message)

    def drain(self):
        """Yield the messages for this node, with those added meanwhile."""
        while self._local:
            yield self._local.popleft()
