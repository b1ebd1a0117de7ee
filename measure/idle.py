"""Idle process with all modules of ``hibiscusspard`` imported, a memory baseline."""

import signal

import hibiscusspar_entry.cli  # noqa: F401

if __name__ == "__main__":
    print("ready", flush=True)
    signal.pause()
