"""Tools that measure performance under load; not part of the test run."""
