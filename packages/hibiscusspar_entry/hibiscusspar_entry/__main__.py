"""Run ``hibiscusspard`` as ``python -m hibiscusspar_entry``."""

from hibiscusspar_entry.cli import main

main()
