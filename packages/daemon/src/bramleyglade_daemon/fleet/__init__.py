"""The daemon as a member of the fleet: peers, shared state, keepers of shards."""
