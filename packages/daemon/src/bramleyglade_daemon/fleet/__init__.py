"""What the daemon does as a member of the fleet."""
