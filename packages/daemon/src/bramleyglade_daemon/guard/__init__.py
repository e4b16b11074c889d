"""The guard: counts slots, queues and attempts of the targets on this VM."""
