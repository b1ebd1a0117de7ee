"""Counts of the demand by account, at a node and in the reports of nodes.

Counts grow from the start of a process, so lost reports lose nothing. A report names
only the accounts that asked for most lately, which bounds its size.
"""

from math import exp

from hibiscusspar.fleet.account_shares import MAX_ACCOUNTS

__all__ = ["SMALL_ACCOUNTS", "AccountCounts", "split_change"]

# Stands for the accounts that a report doesn't name because others ask for more.
SMALL_ACCOUNTS = None

# Time constant in seconds of the recent demand, and the time without a request after
# which an account isn't reported. It spans the window in which the coordinator adds
# demand, also if a report is lost.
_RECENT_S = 2.0
# Accounts counted by service and priority. A count that was dropped starts anew, which
# the coordinator takes for that of a new account.
_MAX_ROWS = 256


class AccountCounts:
    """Tokens that the accounts of one node asked for and were refused."""

    def __init__(self):
        self._services = {}

    def record(self, now, job, tokens, is_refusal=False):
        """Count tokens that the account of a job asked for or was refused."""
        rows = self._services.setdefault(job.service, {}).setdefault(job.priority, {})
        asked, refused, recent, at = rows.pop(job.account, (0, 0, 0.0, now))
        if len(rows) >= _MAX_ROWS:
            del rows[next(iter(rows))]
        recent *= exp(-max(0.0, now - at) / _RECENT_S)
        if is_refusal:
            rows[job.account] = (asked, refused + tokens, recent, now)
        else:
            rows[job.account] = (asked + tokens, refused, recent + tokens, now)

    def latest(self, now):
        """Return the counts for a report, by service, priority and account."""
        found = {}
        for service, priorities in self._services.items():
            for priority, rows in priorities.items():
                recent = {}
                # Rows are in the order of their times.
                for account in reversed(rows):
                    if now > rows[account][3] + _RECENT_S:
                        break
                    recent[account] = rows[account]
                most = sorted(recent, key=lambda a: _recent(now, recent[a]))
                if most:
                    found.setdefault(service, {})[priority] = {
                        a: recent[a][:2] for a in most[-MAX_ACCOUNTS:]
                    }
        return found


def split_change(change, counts, earlier):
    """Split what a node was asked for since its last report by account.

    An account that the last report didn't name may have asked for its tokens long ago,
    so it gets at most what no other account explains.

    Parameters
    ----------
    change : tuple of (int, int)
        Tokens asked for and refused at the node since then, for one priority.
    counts, earlier : dict of str to tuple of (int, int)
        Counts by account in this report and in the last one.

    Returns
    -------
    dict of str or None to list of int
        Tokens asked for and refused, by account. ``SMALL_ACCOUNTS`` has the rest if
        the report names as many accounts as it may.
    """
    known, new = [], []
    for account, row in counts.items():
        before = earlier.get(account)
        if before is None:
            new.append((account, row, (0, 0)))
        elif row != before:
            known.append((account, row, before))
    asked_left, refused_left = max(0, change[0]), max(0, change[1])
    parts = {}
    for account, row, before in known + new:
        asked = min(asked_left, _increase(row[0], before[0]))
        refused = min(refused_left, _increase(row[1], before[1]))
        if asked or refused:
            parts[account] = [asked, refused]
            asked_left -= asked
            refused_left -= refused
    if asked_left and len(counts) >= MAX_ACCOUNTS:
        parts[SMALL_ACCOUNTS] = [asked_left, refused_left]
    return parts


def _increase(count, before):
    """Return the increase of a count, which may have started anew."""
    return count - before if count >= before else count


def _recent(now, row):
    return row[2] * exp(-(now - row[3]) / _RECENT_S)
