"""Client and object formats of the platform's object store."""
