# Failure detection between controllers: `sorrelsill serve --config settings.toml --membership deploy/membership.hcl`.
# Absent fields keep these values. docs/operations/membership.md says what each status means.

heartbeat_s      = 0.5  # between two heartbeats to each other controller
suspect_sigmas   = 6.0  # silence beyond the mean gap by so many of its spreads is suspicious ...
suspect_min_s    = 1.5  # ... but none shorter than this
probe_every_s    = 1.0  # between two rounds of probes of a suspected controller
probe_timeout_s  = 0.8  # for the answer to a probe
confirm_s        = 4.0  # a controller is suspected for this long at the least before it is confirmed
presence_lease_s = 10.0 # the lease in the state service that a confirmed controller must have lost
