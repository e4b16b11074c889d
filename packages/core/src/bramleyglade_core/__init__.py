"""Types, decisions and ports of the fleet; no socket and no codec in here."""
