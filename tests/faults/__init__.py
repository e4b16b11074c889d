"""The fault matrix."""
