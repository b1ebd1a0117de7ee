"""Placement and routing: owners of targets, grants, loads and evictions.

A target's owner orders its loads and evictions and divides its concurrency into
grants; the nodes that hold grants dispatch straight to the target.
"""
