"""Sending of messages to peers by the outbox and to this node by a local queue."""

from collections import deque

from hibiscusspar.placement.messages import Grant, Held, Holdings, Inquiry, Want

__all__ = ["MessageSender", "is_urgent"]


class MessageSender:
    """Sender of messages, with a queue of those for this node.

    Parameters
    ----------
    vm : str
        VM of this node.
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

    def take_local(self):
        """Yield and remove the messages for this node, also those added meanwhile."""
        while self._local:
            yield self._local.popleft()


def is_urgent(message):
    """Return whether a request or a load waits for the content of the message."""
    match message:
        case Want():
            return message.want > 0
        case Held():
            return not message.bound
        case Grant() | Holdings() | Inquiry():
            return True
    return False
