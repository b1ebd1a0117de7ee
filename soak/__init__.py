"""Soak test: node processes under randomized faults that are injected from outside."""
