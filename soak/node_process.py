"""Run a node whose links to targets a file cuts.

The file is named by ``SOAK_LINKS`` and holds the kind of the cut, or nothing.
"""

import os
import sys
import threading
from functools import partial
from pathlib import Path
from time import sleep

from hibiscusspar_platform import node_process
from hibiscusspar_platform.composition import build_node
from hibiscusspar_platform.tests.cut_links import Links

__all__ = ["LINKS_VARIABLE"]

LINKS_VARIABLE = "SOAK_LINKS"
_POLL_S = 0.02


def _follow(path, links):
    """Cut and heal links as a file says."""
    while True:
        kind = path.read_text(encoding="utf-8") if path.exists() else ""
        if kind and links.kind != kind:
            links.cut(kind)
        elif not kind and links.kind:
            links.heal()
        sleep(_POLL_S)


def main():
    """Run the node and return its exit code."""
    links = Links()
    path = Path(os.environ[LINKS_VARIABLE])
    threading.Thread(target=_follow, args=(path, links), daemon=True).start()
    node_process.build_node = partial(build_node, connection_type=links)
    return node_process.main()


if __name__ == "__main__":
    sys.exit(main())
