"""Delivery of messages: to peers by the outbox, to this node itself at once."""

from collections import deque

from hibiscusspar.placement.messages import Grant, Held, Holdings, Inquiry, Want

__all__ = ["Post", "is_urgent"]


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
            out.send(peer, message, is_urgent(message))

    def drain(self):
        """Yield the messages for this node, with those added meanwhile."""
        while self._local:
            yield self._local.popleft()


def is_urgent(message):
    """Return whether a request or a load waits for what the message says."""
    match message:
        case Want():
            return message.want > 0
        case Held():
            return not message.bound
        case Grant() | Holdings() | Inquiry():
            return True
    return False
