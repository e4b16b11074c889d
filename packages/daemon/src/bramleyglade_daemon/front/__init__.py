"""The front: accepts callers, authenticates, admits, picks and retries."""
