"""Benchmarks: one command for each measurement, with a seed and a baseline."""
