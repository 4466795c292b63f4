"""Tests with three real controller processes on loopback; the services around them are faked in the test's process."""
