"""Stand-ins of the state service, the cloud, the workers and the users for the cases 4 to 8, after the users' pages."""
