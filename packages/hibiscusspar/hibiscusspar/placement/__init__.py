"""Placement and routing: owners of targets, grants, loads and evictions.

A target's owner orders its loads and evictions and divides its concurrency into
grants; nodes that hold grants dispatch requests directly to the target.
"""
