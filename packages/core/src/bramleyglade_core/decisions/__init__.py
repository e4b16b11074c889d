"""Policy objects and functions, called by the tasks with clock and randomness handed in."""
