"""Comparison of a node's report with its earlier one."""

from hibiscusspar.fleet.messages import adapter_key

__all__ = ["is_older", "started_counts"]


def is_older(report, known):
    """Return whether a report is no newer than a known one of the same process."""
    return report.start == known.start and report.number <= known.number


def started_counts(counts, earlier):
    """Return the number of requests that began between two reports, by adapter.

    Parameters
    ----------
    counts, earlier : dict of str to int
        Requests that started since the adapter was last idle, by label.
    """
    started = {}
    for label, count in counts.items():
        before = earlier.get(label, 0)
        # A lower count means that the adapter was idle in between, which resets it.
        started[adapter_key(label)] = count - before if count >= before else count
    return started
