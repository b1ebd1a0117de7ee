"""Randomized fault soak: real node processes, faults injected from outside."""
