"""Tests of the whole workspace."""
