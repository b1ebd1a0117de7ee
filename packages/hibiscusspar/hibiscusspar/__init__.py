"""Decisions of the serving layer: tables of entities and systems run over them.

Nothing in this package does I/O, starts threads, reads a clock or draws random
numbers by itself: the current time and the random generator are arguments.
"""

__version__ = "0.1.0"
