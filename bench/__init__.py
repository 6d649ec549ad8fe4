"""Benchmarks, one command a measure."""
