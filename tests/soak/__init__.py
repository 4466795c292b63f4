"""Seeded histories of troubles that are aimed at one moment, for minutes or, started by hand, for hours."""
