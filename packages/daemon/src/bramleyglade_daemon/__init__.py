"""The daemon that runs on each target VM: front and guard in one process."""
