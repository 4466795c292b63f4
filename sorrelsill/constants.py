"""Every constant of the service: value, unit and reason. No other module holds a bare number
that an operator might want to change. What depends on a deployment is derived from its settings in
`settings.Timings`; the factors of those derivations stand here."""

from typing import Final

# --- protocol ---------------------------------------------------------------------------------------
MAX_BODY: Final = 64 * 1024  # bytes; the protocol's limit for bodies in both directions
MAX_TASKS: Final = 100_000  # tasks; the protocol's limit per job
WORKER_DROPS_AFTER_S: Final = 4.0  # s; a worker drops a response that comes later than this
CLOCK_DRIFT: Final = 0.0005  # ratio; two steady clocks may drift apart by this much
SCALE_OUT_BATCH_MAX: Final = 50  # machines; the cloud's limit per rental request
SCALE_IN_BATCH_MAX: Final = 100  # names; the cloud's limit per return request
LIST_PAGE: Final = 500  # machines; the cloud's limit per page
KV_PAGE: Final = 1000  # keys; the key-value store's limit per page
COMPARES_PER_OP: Final = 4  # conditions allowed for each put or delete of a transaction
LEAST_OPS: Final = 2  # writes; the end of a job takes this many in one transaction
TXN_BYTES: Final = 56 * 1024  # bytes; below the 64 KiB of a transaction, as the limit counts JSON form

# --- leadership -------------------------------------------------------------------------------------
LEASE_OF_WORKER_LEASE: Final = 0.36  # ratio; a failover (lease + acquire + a worker's way to the new
#                                      leader, up to 5 s) has to end within the workers' lease
LEASE_MIN_S: Final = 2.0  # s; below this an ordinary slow answer would cost the leadership
LEASE_MAX_S: Final = 30.0  # s; the guide's lease, which is enough wherever workers allow it
PING_OF_LEASE: Final = 1 / 6  # ratio; the guide's ping interval and ping time-out
PING_MAX_S: Final = 5.0  # s; the guide's cap on both
VALIDITY_OF_LEASE: Final = 2 / 3  # ratio; the guide's validity, from the send time of the last good ping
STALL_LIMIT_S: Final = 10.0  # s; a leader's loop without a beat for this long counts as stalled
SELF_RELEASE_S: Final = 10.0  # s; stalled for this long on top makes the leader resign (guide: 30 s, which
#                                is longer than the workers' leases here)
NO_HEARTBEAT_INTERVALS: Final = 2.0  # heartbeat intervals; with no heartbeat of any worker for this long ...
NO_HEARTBEAT_EXTRA_S: Final = 1.0  # s; ... plus this, a leader that received some before resigns ...
NO_HEARTBEAT_MACHINES: Final = 2  # machines; ... if at least this many should send heartbeats ...
NO_HEARTBEAT_STANDBY_S: Final = 20.0  # s; ... and leaves the key to others this long
ACQUIRE_DEFER_S: Final = 0.2  # s; the controller before the former leader in the workers' order tries this much later
ACQUIRE_JITTER_S: Final = 0.004  # s; spreads the followers' attempts when the key goes; far below the 0.05 s of the
#                                  version before, so that in an upgrade the key goes to one that stays

# --- workers ----------------------------------------------------------------------------------------
LOSS_MARGIN_S: Final = 0.5  # s; on top of lease and drift before silent work is declared lost
DRAIN_AHEAD_S: Final = 2.5  # s; tasks on a spot machine to be reclaimed are told to checkpoint this much ahead
START_BACKOFF_S: Final = 2.0  # s; first pause before a failed task is tried again; doubles
START_BACKOFF_MAX_S: Final = 60.0  # s; cap of that pause
QUARANTINE_JOBS: Final = 2  # distinct jobs, each of which succeeded elsewhere, failing on a machine before it is
#                                  quarantined
SUSPECT_MACHINES: Final = 2  # machines; a job that failed on so many without a success is probably at fault itself
BLAMED_MACHINES_MAX: Final = 3  # machines; a job whose failures would count against more of them is no reliable witness
TRIAL_TASKS: Final = 1  # tasks; of a job that is probably at fault, tried at a time
REPLICA_PROOF_S: Final = 20.0  # s; a replica that has run for this long shows that its service can run
MACHINE_AVOID_S: Final = 120.0  # s; a machine that refused or failed a job's task is avoided for that job
EXPIRE_EVERY_S: Final = 0.25  # s; between two looks for machines silent past their lease
EXPIRE_TASKS: Final = 600  # tasks; given up as lost in one look, some 10 ms of work; the next look goes on from there
# s; a duplicate of a direct start may come this late: its task is cleared only after it
DUPLICATE_START_S: Final = 120.0
# s; a machine that is gone is remembered this long at the least, so that stale copies of its heartbeats are rejected:
# messages may be minutes late
TOMBSTONE_S: Final = 900.0
TOMBSTONES_KEPT: Final = 4096  # machines that are gone; so many are remembered for longer than that
ATTEMPT_COUNTER_BITS: Final = 24  # bits; attempt number = term shifted by this, plus a counter: grows across terms

COMMAND_TIMEOUT_S: Final = 2.0  # s; for a worker's answer to commands sent straight to it
FIRST_PROBE_TIMEOUT_S: Final = 0.5  # s; the same for the first probe of a machine after a failover: most answer in
#                                   milliseconds, and what hangs is probed again with more time
# s; a machine that was not reached is left to its heartbeats this long, twice as long ...
COMMAND_BACKOFF_S: Final = 2.0
# s; ... each time up to this: a machine that stays unreachable should cost ever less
COMMAND_BACKOFF_MAX_S: Final = 16.0
# calls to workers in flight: dozens of machines that hang at once must not take all of them, and hundreds that answer
# at once would keep users waiting
COMMANDS_AT_ONCE: Final = 96
PROBES_AT_ONCE: Final = 24  # probes in flight, at the least ...
PROBES_OF_SOCKETS: Final = 0.0125  # ratio; ... and this part of the quota of sockets, which grows with the fleet
REPEATED_PROBES: Final = 0.5  # ratio; of the probes, for machines that did not answer before
OVERDUE_OF_HEARTBEAT: Final = 1.25  # ratio; the longest interval between heartbeats, of the usual one ...
# s; ... and this on top: a machine whose heartbeat is overdue gets no new work and no calls
OVERDUE_EXTRA_S: Final = 1.0
COMMAND_SOCKETS: Final = 0.25  # ratio; of the quota of sockets, for connections kept to workers

# --- key-value store ----------------------------------------------------------------------------------
STORE_TIMEOUT_S: Final = 1.5  # s; an answer normally takes 10 ms, now and then a few hundred
WATCH_HOLD_S: Final = 1.0  # s; length of a watch, which bounds how stale the watch cache can get unnoticed
WATCH_GRACE_S: Final = 2.0  # s; a watch that is this much overdue is cancelled
STORE_SHARE: Final = 0.9  # ratio; the part of the store's rates that all nodes together plan to use
LEADER_WRITE_SHARE: Final = 0.6  # ratio; of the planned writes, the leader's part
BARRIER_RATE_OF_RPS: Final = 0.12  # ratio; read barriers a node may make per second, of the store's rate
WATCH_CACHE_STALE_S: Final = 3.0  # s; no start while the watch cache is older than this
RETRY_S: Final = 0.25  # s; pause after a failed store call in a loop
FINAL_CACHE: Final = 20_000  # jobs; finished jobs whose final state is held in memory
ENDED_MARGIN_S: Final = 10.0  # s; jobs that ended lately are remembered for longer than their tasks may live, by this
CHUNK_TASKS: Final = 16_384  # tasks; jobs above this keep finished tasks in keys of their own
PART_TASKS: Final = 4_096  # tasks; the same in smaller keys where a value may not be that long: at most 0.7 KB each
VALUE_SHARE: Final = 0.9  # ratio; of a value's limit that we fill, since how the store writes JSON is not known
REGISTRY_PARTS: Final = 32  # keys that share the machine registry; one that is full goes on in further keys
QUARANTINED_WRITE_S: Final = 60.0  # s; a write that the store refuses even alone is quarantined for this long
WRITER_TICK_S: Final = 0.2  # s; finished tasks and changed states are gathered this long per write
PROGRESS_EVERY_S: Final = 6.0  # s; the progress record of a running job is written this often at the most ...
PROGRESS_RESERVE: Final = 6  # writes; left over by progress for what is urgent next: two ends and two submissions ...
PROGRESS_RESERVE_SHARE: Final = 0.5  # ratio; ... but no more than this part of what can be saved up
PROGRESS_SHARE: Final = 0.4  # ratio; ... and seldomer with many of them: of the leader's writes, what progress may use
WATCH_SHARE: Final = 0.4  # ratio; of a node's requests to the store that its watch may use while changes are frequent

# --- users ------------------------------------------------------------------------------------------
CLI_TIMEOUT_S: Final = 6.0  # s; the command line waits a little longer than the 5 s a user does
RETRY_AFTER_S: Final = 1  # s; sent with 503 and 429: the least a user waits anyway
ADMIT_QUEUE: Final = 256  # submissions waiting for one batch; more are answered 429 at once
POLL_QUEUE: Final = 1024  # polls waiting for one shared read; more are answered 503 at once
LOOKUPS_AT_ONCE: Final = 32  # reads of final records in flight for polls; a poll that needs one more is answered 503
ADMIT_TRIES: Final = 3  # tries; of one batch, after a refusal for the rate or a job that was there already
ADMIT_DEADLINE_S: Final = 3.0  # s; a user waits 5 s: the final answer has to be out before
POLL_DEADLINE_S: Final = 1.4  # s; a user waits 2 s for a poll
READY_STORE_S: Final = 3.0  # s; a node alone without the store for this long says it is not ready
TEAM_PAGE: Final = 200  # jobs; of a team's list per answer, well under the limit of an answer
REASONS_KEPT: Final = 8  # notes; newest reasons kept per job, why tasks stopped or wait

# --- http -------------------------------------------------------------------------------------------
IDLE_S: Final = 90.0  # s; an idle client connection is closed after this
REQUEST_S: Final = 10.0  # s; a request has to arrive, and an answer be taken, within this
SOCKET_RESERVE: Final = 64  # sockets; kept free of the quota for our own calls to store, cloud and peers
POOL_IDLE_S: Final = 20.0  # s; a kept client connection older than this is not used again
POOL_MAX: Final = 8  # connections kept per address
CONNECT_S: Final = 0.7  # s; a connection that takes longer is abandoned
HEAD_PLAIN: Final = 1024  # bytes; longer heads are not remembered
HEADS_KEPT: Final = 2048  # heads of requests and of answers remembered of each sort: some 2 MB at the most
PEER_SOCKETS: Final = 16  # sockets; for connections from the other controllers

# --- placement --------------------------------------------------------------------------------------
SCHEDULING_INTERVAL_S: Final = 0.03  # s; least time between two scheduling cycles
CYCLE_BUDGET_S: Final = 0.03  # s; time budget of a scheduling cycle; the next one continues from there
DRAWS_BEFORE_LISTING: Final = 3  # samples; without a feasible machine, before all candidates are listed and filtered
CANDIDATE_SAMPLE: Final = 24  # machines; sampled per task; best fit among these
FETCH_WEIGHT: Final = 4.0  # score; of an image that must be fetched, against a whole machine of free CPUs
# score; of a machine on the wrong market, spot or on-demand, for work that may use both
SPOT_MISMATCH_WEIGHT: Final = 0.5
# score; of another replica of a latency-sensitive service there, against a whole machine of free CPUs
SPREAD_WEIGHT: Final = 1.0
ZONE_BALANCE_WEIGHT: Final = 1.0  # score; of a job's balance over the zones, against a whole machine of free CPUs
PREEMPT_SAMPLE: Final = 48  # machines; sampled in the search for the cheapest preemption victims
# s; after a failed search for preemption victims the same class of work does not search again for this long
FAILED_SEARCH_PAUSE_S: Final = 0.5
# s; a job none of whose tasks ran for this long is starved and goes before all but production; the users allow four
# minutes to begin, and some jobs may be in that state together
STARVATION_S: Final = 75.0
STARVED_RESERVATION_S: Final = 30.0  # s; a machine is reserved for a starved job this long, until enough of it is free
PREEMPT_PER_CYCLE: Final = 8  # tasks; of one job, for which preemption makes room per scheduling cycle
# s; what a preemption costs besides the lost run time: fetching the image and starting again
PREEMPT_BASE_S: Final = 5.0
# s; room made by preemption on machines that hold the image is awaited this long; then any machine will do
WARM_PREEMPTION_WAIT_S: Final = 1.0
GANG_SAMPLES: Final = 4  # samples; a gang needs room on several machines at once, so it samples more of them
# gangs; of each class whose tasks should start within seconds, headroom kept ready in one zone
GANG_HEADROOM: Final = 1.0
GANG_HOLD_S: Final = 30.0  # s; machines are held for a gang this long, while they drain: most tasks end within it
GANG_HOLD_MACHINES: Final = 16  # machines; held for one gang at the most
GANG_HOLD_SHARE: Final = 0.1  # ratio; of the machines, held for all gangs together
PREEMPTION_WAIT_S: Final = 5.0  # s; room made by preemption is awaited this long before more is made

AMOUNT_TOLERANCE: Final = 1e-6  # CPUs, GPUs or GB; amounts that differ by less are the same
ROOM_CLASSES: Final = 65  # classes of machines by whole free CPUs, 0 to 63; all with more are in the last one

# --- fleet ------------------------------------------------------------------------------------------
CLOUD_SHARE: Final = 0.8  # ratio; of the cloud's rate that the leader plans to use
CLOUD_TIMEOUT_S: Final = 5.0  # s; for an answer of the cloud
LIST_EVERY_S: Final = 4.0  # s; between two readings of the machine list, at the least ...
LIST_SHARE: Final = 0.5  # ratio; ... and as seldom as its pages need to use this part of our rate at the most
CATALOG_EVERY_S: Final = 60.0  # s; between two readings of the catalog once it is known
NO_CAPACITY_S: Final = 8.0  # s; an instance offer that was refused is not requested again before this
NO_CAPACITY_MAX_S: Final = 24.0  # s; the pause doubles with each refusal in a row up to this
IDLE_OF_BOOT: Final = 0.5  # ratio; an idle machine is kept for this part of the boot time of another (the
#                            whole, the break-even of keeping against renting again, cost more on measured days) ...
# s; ... and for this long where latency is optimised for, as objectives leave no time to boot another
IDLE_RETURN_LATENCY_S: Final = 600.0
HEADROOM: Final = 0.3  # ratio; of the CPUs in use, kept free where latency is optimised for: bursts come within minutes
BOOT_LATE: Final = 1.6  # ratio; of its type's boot time, after which an instance is late: most need 0.6 to 1.5 of it
BOOT_LATE_OF_OBSERVED: Final = 1.2  # ratio; of the median boot observed lately, if that is longer
# ratio; of the boot time, after which the boot counts as failed while few boots were observed
BOOT_FAILED: Final = 4.0
BOOT_FAILED_OBSERVED: Final = 2.2  # ratio; the same once enough boots were observed, ...
BOOT_FAILED_OF_OBSERVED: Final = 1.3  # ratio; ... or this of the longest observed lately, if that is longer
BOOT_EXTRA_S: Final = 10.0  # s; on top of each: short boot times say little about the time until the first heartbeat
BOOTS_KEPT: Final = 32  # boots; of each machine type, from which the observed times are taken
BOOTS_ENOUGH: Final = 8  # boots; with fewer the published boot time alone counts
LATE_REPLACED_SHARE: Final = 0.5  # ratio; of the late instances, replaced while they may still come up ...
LATE_REPLACED_MIN: Final = 2  # machines; ... but so many at least: when all are late, renting more does not help
# s; a machine whose tasks are lost and that sends no heartbeat is returned after this
UNRESPONSIVE_RETURN_S: Final = 30.0
SCALE_OUT_TRIES: Final = 4  # tries; of one rental request before its capacity is planned again
DEADLINE_USE: Final = 0.9  # ratio; of the time to a deadline that is planned for, as estimates are often wrong
ESTIMATE_SLACK: Final = 1.3  # ratio; estimates of run times are often wrong by half
# s; slack on top of boot, fetch and run time; with less, an on-demand machine is rented for work that may use spot
# machines, which cost less than half
ON_DEMAND_DELAY_S: Final = 8.0
# s; between two capacity plans, which take long when much is unschedulable; a boot takes longer
PLAN_EVERY_S: Final = 1.0
FLEET_TICK_S: Final = 0.25  # s; between two steps of the fleet loop: rent, list or return
UTILISATION_LOG_S: Final = 10.0  # s; between two debug log lines on the fleet's utilisation
DRAIN_EVERY_S: Final = 5.0  # s; between two rebalancings, which move services to fuller machines ...
# ratio; ... draining this part of the machines at once, one at least; not while more are booting
DRAIN_SHARE: Final = 0.01
DRAIN_TRIES: Final = 8  # machines; least utilised first, checked in detail for whether they can be drained
MIN_RUN_BEFORE_MOVE_S: Final = 60.0  # s; a replica is moved to save cost only once it has run this long
MIN_CHARGE_S: Final = 60.0  # s; a machine costs at least this, so returning sooner saves nothing

# --- membership -------------------------------------------------------------------------------------
TICK_LATE_S: Final = 0.25  # s; a tick that comes later than this shows that the process itself did not run meanwhile
HEARTBEAT_INTERVALS_KEPT: Final = 64  # gaps; between peer heartbeats, from which their mean and spread are taken
MIN_HEARTBEAT_INTERVALS: Final = 8  # gaps; with fewer the configured interval counts
PRESENCE_RENEW_OF_LEASE: Final = 0.25  # ratio; of the presence lease, between two renewals: three may be missed
HANDOVERS_KEPT: Final = 100  # handovers to a controller, kept for its metrics
DRAIN_WAIT_S: Final = 10.0  # s; a controller that shuts down waits this long for a successor at the most
DRAIN_LINGER_S: Final = 1.0  # s; and goes on answering and redirecting for this long after it
REFUSAL_LOG_INTERVAL_S: Final = 10.0  # s; between two log lines on refused membership messages

# --- peers ------------------------------------------------------------------------------------------
PROMISE_S: Final = 2.0  # s; a promise not to lead or acquire lasts this long
PROMISE_EVERY_S: Final = 0.6  # s; and is renewed this often
PROMISE_AFTER_S: Final = 1.0  # s; without the store for this long a node asks for promises
PROMISE_MARGIN_S: Final = 0.2  # s; the holder counts a promise as shorter by this, for drift and late timers
RENEW_MARGIN_S: Final = 2.0  # s; of `cancel_s` less the workers' lease, kept back when leases are renewed: drift over
#                              both, an answer's way, a worker's own interval of checking its lease
CANCEL_SLACK_S: Final = 0.5  # s; on top wherever a cancelled task's time is taken as over, for drift and rounding
CANCELLED_KEPT: Final = 2.0  # ratio; of `cancel_s`, how long a cancellation is remembered: its tasks are gone after one
CANCELLED_NAMED: Final = 2000  # jobs; named to a peer in one answer, some 30 of a body's 64 KB; with more, none is
PEER_TIMEOUT_S: Final = 0.6  # s; for an answer of a peer
