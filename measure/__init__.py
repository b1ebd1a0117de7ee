"""Measurements from fixed seeds: ``python -m measure [--quick] [PART ...]``.

A part is a module of this package named ``part_NAME`` with a function
``run(quick)`` that returns a list of :class:`measure.report.Table` (and may draw
plots with :func:`measure.report.plot`).
"""
