"""Main function of the entry process."""

import signal

from hibiscusspar_entry.composition import build_node
from hibiscusspar_entry.event_log import open_log
from hibiscusspar_entry.signal_flag import SignalFlag

__all__ = ["run_process"]


def run_process(settings):
    """Serve until SIGTERM, SIGINT or a drain, then shut down gracefully.

    Parameters
    ----------
    settings : Settings
    """
    open_log(settings.log_file, vm=settings.vm_id, zone=settings.zone)
    stop = SignalFlag()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop.set)
    node = build_node(settings, stop.set)
    node.start()
    stop.wait()
    node.stop()
