"""Frozen data classes that all other packages share."""
