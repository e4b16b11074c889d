"""Adapters that implement the core's ports with third-party libraries."""
