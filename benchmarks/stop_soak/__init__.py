"""A seeded soak: processes stop and restart in series while callers keep connections.

The judge compares what the callers received with what the targets ran.
"""
