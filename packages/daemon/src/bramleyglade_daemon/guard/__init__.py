"""The guard: queues and runs attempts at the targets on this VM."""
