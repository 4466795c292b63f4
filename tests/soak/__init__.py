"""Seeded histories of failures that are aimed at one moment, for minutes or, started by hand, for hours."""
