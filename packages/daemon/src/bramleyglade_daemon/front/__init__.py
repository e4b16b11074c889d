"""The front: accepts callers, authenticates, admits, picks targets and retries."""
