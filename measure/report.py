"""Tables and plots of a measurement."""

from pathlib import Path
from typing import NamedTuple

__all__ = ["OUTPUT", "Table", "line_plot", "to_markdown"]

OUTPUT = Path(__file__).resolve().parent.parent / "docs" / "measurements"


class Table(NamedTuple):
    """A titled table; ``rows`` are sequences as long as ``columns``."""

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
        lines.append("| " + " | ".join(_cell(value) for value in row) + " |")
    if table.note:
        lines += ["", table.note]
    return "\n".join(lines) + "\n"


def _cell(value):
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def line_plot(name, title, x_label, y_label, series):
    """Draw lines into ``docs/measurements/NAME.svg``.

    Parameters
    ----------
    name : str
        File name without its ending.
    title, x_label, y_label : str
        Texts of the plot.
    series : dict of str to (sequence, sequence)
        Label to x and y values.
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
