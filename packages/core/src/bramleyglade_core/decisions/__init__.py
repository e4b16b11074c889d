"""Policy objects and functions; clock and randomness are handed in."""
