"""Stateful fuzzing of the coordination layer against simple oracles."""
