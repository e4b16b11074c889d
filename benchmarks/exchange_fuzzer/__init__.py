"""Plays generated conversations between callers, daemons and targets."""
