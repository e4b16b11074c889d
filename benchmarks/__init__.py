"""Benchmarks of the fleet; each prints one JSON object a line."""
