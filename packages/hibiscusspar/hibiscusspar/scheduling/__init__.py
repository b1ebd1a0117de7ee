"""Scheduling of waiting requests on the free concurrency units of targets."""
