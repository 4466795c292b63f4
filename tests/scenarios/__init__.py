"""Scenario tests: the whole service against simulated dependencies on a virtual clock."""
