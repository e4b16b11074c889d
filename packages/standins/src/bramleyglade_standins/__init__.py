"""Stand-ins for the platform and for targets; no product package imports them."""
