"""Tables and plots of the measurements."""

from pathlib import Path
from typing import NamedTuple

__all__ = ["OUTPUT", "Table", "line_plot", "to_markdown"]

OUTPUT = Path(__file__).resolve().parent.parent / "docs" / "measurements"


class Table(NamedTuple):
    """Table with a title; each row is as long as ``columns``."""

    title: str
    columns: tuple[str, ...]
    rows: list
    note: str = ""


def to_markdown(table):
    """Return the table as Markdown text."""
    lines = [f"### {table.title}", ""]
    lines.append("| " + " | ".join(table.columns) + " |")
    lines.append("|" + " --- |" * len(table.columns))
    for row in table.rows:
        lines.append("| " + " | ".join(_format_cell(value) for value in row) + " |")
    if table.note:
        lines += ["", table.note]
    return "\n".join(lines) + "\n"


def _format_cell(value):
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def line_plot(name, title, x_label, y_label, series):
    """Write a line plot to ``docs/measurements/NAME.svg``.

    Parameters
    ----------
    name : str
        File name without the suffix.
    title, x_label, y_label : str
        Title and axis labels.
    series : dict of str to (sequence, sequence)
        x and y values of each line by its label.
    """
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "hibiscusspar"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for label, (xs, ys) in series.items():
        axes.plot(xs, ys, marker="o", label=label)
    axes.set(title=title, xlabel=x_label, ylabel=y_label)
    axes.legend()
    OUTPUT.mkdir(parents=True, exist_ok=True)
    figure.savefig(OUTPUT / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)
