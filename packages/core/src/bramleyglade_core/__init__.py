"""Types, decisions and ports of the fleet, without sockets and codecs."""
