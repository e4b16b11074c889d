"""The platform's object store over HTTP and JSON."""
