"""Randomized, seeded failure runs around leader failover: short in the test run, or hours long when started by hand."""
