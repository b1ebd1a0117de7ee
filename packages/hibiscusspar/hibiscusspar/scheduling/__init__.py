"""Scheduling of waiting requests on free units of targets."""
