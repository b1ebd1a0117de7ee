"""Tests of placement and routing."""
