"""Measurements of the fleet, each printing one JSON object a line."""
