"""Decision logic of the serving layer: tables of entities and systems over them.

Nothing in this package does I/O, starts threads, reads a clock or creates a random
generator: the current time and the generator are passed as arguments.
"""

__version__ = "0.1.0"
