"""Stateful fuzzing of the coordination layer."""
