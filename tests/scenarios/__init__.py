"""Scenarios across slices: the whole service against stand-ins on a virtual clock."""
