"""Tests of the general-purpose helpers."""
