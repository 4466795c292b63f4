"""Tools that measure under load; not part of the test run."""
