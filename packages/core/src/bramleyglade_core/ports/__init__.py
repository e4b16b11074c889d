"""Protocols for the external services and formats that the fleet depends on."""
