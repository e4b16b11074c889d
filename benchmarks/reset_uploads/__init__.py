"""Uploads whose targets answer early without a length, and then reset."""
