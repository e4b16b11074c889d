"""Frozen data classes that every other part speaks in."""
