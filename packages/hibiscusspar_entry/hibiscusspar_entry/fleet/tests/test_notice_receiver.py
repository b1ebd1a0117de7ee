"""Tests of the distribution of received notices."""

import unittest
from unittest.mock import Mock

from hibiscusspar.fleet.messages import ConfigQuery, RetryLoan, SendNotice, StreamBegan
from hibiscusspar_entry.fleet.notice_receiver import NoticeReceiver

ADDRESS = ("10.0.0.1", 7000)


class TestNoticeReceiver(unittest.TestCase):
    def setUp(self):
        self.parts, self.sender = Mock(), Mock()
        self.receiver = NoticeReceiver(self.parts, self.sender)

    def receive(self, notice):
        """Return the calls to all components that a notice causes."""
        self.receiver.receive(notice, ADDRESS)
        return [name for name, *_ in self.parts.mock_calls + self.sender.mock_calls]

    def test_sent_requests_reach_only_the_scheduler(self):
        calls = self.receive(SendNotice([("t0", 100)]))
        self.assertEqual(calls, ["request_scheduler.apply_notice"])

    def test_loan_of_a_retry_reaches_the_budgets(self):
        calls = self.receive(SendNotice([], loan=RetryLoan("s1", 1, "s")))
        self.assertEqual(calls, ["clock", "retry_budgets.apply_loan"])

    def test_each_part_of_a_notice_reaches_its_component(self):
        for fields, name in (
            ({"began": [StreamBegan("k", "s", "v1")]}, "origins.apply_notice"),
            ({"asked": ["k"]}, "origins.apply_notice"),
            ({"proxy_asked": ["s"]}, "path_watch.apply_notice"),
            ({"config_asked": ConfigQuery(1, 0, [])}, "config_relay.apply_notice"),
            ({"slow": [("t0", 1, 2.5)]}, "speeds.slow_periods.apply_notice"),
            ({"relay": True}, "relay"),
        ):
            with self.subTest(name=name):
                self.setUp()
                self.assertEqual(self.receive(SendNotice([], **fields)), [name])

    def test_full_targets_are_recorded_if_the_directory_has_them(self):
        self.parts.path_watch.target.side_effect = [None, "row"]
        self.receive(SendNotice([], full=["t0", "t1"]))
        self.parts.statements.record_full.assert_called_once_with("row")
