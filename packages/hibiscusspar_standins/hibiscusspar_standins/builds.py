"""Functions for running processes with the code of another checkout."""

import os
from pathlib import Path

__all__ = ["python_path"]


def python_path(checkout):
    """Return the ``PYTHONPATH`` that holds the packages of a checkout."""
    root = Path(checkout).resolve()
    folders = [*sorted((root / "packages").iterdir()), root / "platform"]
    return os.pathsep.join(map(str, folders))
