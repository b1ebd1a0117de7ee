"""Measurements from fixed seeds: ``python -m measure [--quick] [PART ...]``.

Each part is a module ``part_NAME`` of this package with a function ``run(quick)``.
It returns a list of :class:`measure.report.Table` and may draw plots with
:func:`measure.report.line_plot`.
"""
