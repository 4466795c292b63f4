"""Scenario tests and the simulated cluster that they run on; not part of the installed package."""
