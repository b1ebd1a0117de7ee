"""Encoding of a view for the groups of nodes that it is sent to."""

from functools import cached_property

from msgspec.json import encode as to_json

from hibiscusspar_entry.fleet.packing import PackedHead

__all__ = ["ViewEncoder"]

# Encoded field in which the views of one time differ, while it is empty.
_NO_ACKED = b'"acked":{},'
# Beginning of an encoded ``ViewRelay``, before its view.
_RELAY_HEAD = b'{"type":"relay","view":'


class ViewEncoder:
    """Encoder of the messages that carry one view to groups of nodes.

    The messages differ only in the acknowledged reports and the addresses to forward
    to. These fields come last, so that what they share, tens of kilobytes in a large
    fleet, is encoded and packed only once.

    Parameters
    ----------
    view : FleetView
        View that acknowledges no report.
    """

    def __init__(self, view):
        self._head = to_json(view).replace(_NO_ACKED, b"", 1)[:-1]

    def message(self, acked, others, packed):
        """Return the message to the first node of a group.

        Parameters
        ----------
        acked : dict of str to int
            Number of the last report by node of the group.
        others : list of tuple of (str, int)
            Addresses to which that node forwards the view.
        packed : bool
            Whether all nodes of the group read packed messages.
        """
        tail = b',"acked":' + to_json(acked) + b"}"
        if others:
            tail += b',"addresses":' + to_json(others) + b"}"
        if packed:
            return (self._packed_relay if others else self._packed_view).pack(tail)
        return (_RELAY_HEAD if others else b"") + self._head + tail

    @cached_property
    def _packed_view(self):
        return PackedHead(self._head)

    @cached_property
    def _packed_relay(self):
        return PackedHead(_RELAY_HEAD + self._head)
