"""A process that imports all of ``hibiscusspard`` and does nothing."""

import signal

import hibiscusspar_entry.cli  # noqa: F401

if __name__ == "__main__":
    print("ready", flush=True)
    signal.pause()
