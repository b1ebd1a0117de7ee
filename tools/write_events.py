"""Program that writes ``docs/EVENTS.md`` from the catalogue of log events."""

import importlib
import pkgutil
from pathlib import Path

from hibiscusspar.events import catalogue

PACKAGES = ("hibiscusspar", "hibiscusspar_wire", "hibiscusspar_entry")
PAGE = Path(__file__).resolve().parent.parent / "docs" / "EVENTS.md"
HEADER = """# Log events

Each line of the log is a JSON object. `event` is the number below, `message_type`
its name. Written by `make docs` from the declarations in the code.

| event | name | fields | meaning |
| --- | --- | --- | --- |
"""


def render():
    """Return the Markdown text of the page."""
    for package in PACKAGES:
        _import_events(package)
    rows = [
        f"| {kind.number} | `{kind.name}` | {', '.join(kind.fields)} | {kind.meaning} |"
        for kind in catalogue()
    ]
    return HEADER + "\n".join(rows) + "\n"


def _import_events(package):
    module = importlib.import_module(package)
    for info in pkgutil.walk_packages(module.__path__, package + "."):
        if info.name.endswith("events"):
            importlib.import_module(info.name)


if __name__ == "__main__":
    PAGE.write_text(render())
