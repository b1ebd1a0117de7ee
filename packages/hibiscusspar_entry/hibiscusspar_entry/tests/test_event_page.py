"""Tests that the event page of the documentation is complete."""

import unittest
from pathlib import Path

from hibiscusspar.events import catalogue
from hibiscusspar_entry import events as process_events
from hibiscusspar_entry.fleet import events as fleet_events

PAGE = Path(__file__).resolve().parents[4] / "docs" / "EVENTS.md"


class TestEventPage(unittest.TestCase):
    def test_page_lists_each_event_with_its_fields(self):
        self.assertTrue(process_events.__all__ and fleet_events.__all__)
        page = PAGE.read_text(encoding="utf-8")
        for kind in catalogue():
            if kind.number < 10_000:
                fields = ", ".join(kind.fields)
                self.assertIn(f"| {kind.number} | `{kind.name}` | {fields} |", page)
