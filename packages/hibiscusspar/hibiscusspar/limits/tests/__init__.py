"""Tests of client accounts."""
