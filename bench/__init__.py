"""Benchmarks: one command a measure, each with a seed and a baseline."""
