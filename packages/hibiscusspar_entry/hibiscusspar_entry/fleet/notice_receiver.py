"""Distribution of received notices to the components of a node."""

__all__ = ["NoticeReceiver"]


class NoticeReceiver:
    """Receiver of the notices of other nodes, up to some hundred a second.

    Most of them tell only of sent requests, so each component gets only the notices
    that have something for it.

    Parameters
    ----------
    parts : FleetParts
        Components of the node; see ``hibiscusspar_entry.fleet.node``.
    notice_sender : NoticeSender
    """

    def __init__(self, parts, notice_sender):
        self._relay = notice_sender.relay
        self._request_scheduler = parts.request_scheduler
        self._origins = parts.origins
        self._path_watch = parts.path_watch
        self._config_relay = parts.config_relay
        self._statements = parts.statements
        self._slow_periods = parts.speeds.slow_periods
        self._retry_budgets = parts.retry_budgets
        self._clock = parts.clock

    def receive(self, notice, address):
        """Handle a notice that came from an address."""
        if notice.relay:
            self._relay(notice)
        if notice.sends or notice.loads:
            self._request_scheduler.apply_notice(notice)
        if notice.began or notice.asked:
            self._origins.apply_notice(notice, address)
        if notice.proxy_asked or notice.proxy_offer is not None:
            self._path_watch.apply_notice(notice, address)
        if notice.config_asked is not None or notice.config_part is not None:
            self._config_relay.apply_notice(notice, address)
        if notice.loan is not None:
            self._retry_budgets.apply_loan(self._clock(), notice.loan)
        if notice.slow:
            self._slow_periods.apply_notice(notice)
        for target_id in notice.full:
            target = self._path_watch.target(target_id)
            if target is not None:
                self._statements.record_full(target)
