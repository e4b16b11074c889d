"""What the fleet needs from the outside, as protocols."""
