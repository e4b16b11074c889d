"""Links between daemons: Cap'n Proto messages over TCP."""
