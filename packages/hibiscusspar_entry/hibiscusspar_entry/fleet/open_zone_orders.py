"""Calls to targets that leave out those of evacuated zones."""

__all__ = ["OpenZoneOrders"]


class OpenZoneOrders:
    """Load orders and state queries to targets whose zones aren't evacuated.

    Parameters
    ----------
    orders : TargetOrders
    is_evacuated : callable
        Returns whether a target must get nothing.
    """

    def __init__(self, orders, is_evacuated):
        self._orders = orders
        self._is_evacuated = is_evacuated

    def send_order(self, target, order, holder, fence):
        """Send an order; return its result, ``refused`` for an evacuated target."""
        if self._is_evacuated(target):
            return "refused"
        return self._orders.send_order(target, order, holder, fence)

    def read_state(self, target):
        """Return the state of a target, or None if it can't be read."""
        if self._is_evacuated(target):
            return None
        return self._orders.read_state(target)
