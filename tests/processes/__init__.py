"""Three real controller processes on loopback, with stand-ins of all that they talk to in the test's own process."""
