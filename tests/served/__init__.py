"""Tests of the served platform, and of real daemons against it."""
