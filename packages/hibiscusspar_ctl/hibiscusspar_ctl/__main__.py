"""Entry point of ``python -m hibiscusspar_ctl``."""

from hibiscusspar_ctl.cli import main

main()
