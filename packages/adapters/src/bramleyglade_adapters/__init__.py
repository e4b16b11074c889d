"""Adapters that connect the fleet's ports to the world, by well-known libraries."""
