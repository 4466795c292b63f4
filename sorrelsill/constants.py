"""Constants of the service that operators may want to change, each with its unit. Values that depend on a deployment
are derived from its settings by `settings.Timings`; the factors used there are defined here."""

from typing import Final

# --- protocol ---------------------------------------------------------------------------------------
MAX_BODY: Final = 64 * 1024  # bytes; the protocol's limit for request and response bodies
MAX_TASKS: Final = 100_000  # tasks; the protocol's limit per job
WORKER_DROPS_AFTER_S: Final = 4.0  # s; a worker ignores a response that arrives later than this
CLOCK_DRIFT: Final = 0.0005  # ratio; maximum relative drift between two monotonic clocks
SCALE_OUT_BATCH_MAX: Final = 50  # machines; the cloud's limit per rental request
SCALE_IN_BATCH_MAX: Final = 100  # machine names; the cloud's limit per return request
MACHINE_LIST_PAGE_SIZE: Final = 500  # machines; the cloud's limit per page
KV_PAGE_SIZE: Final = 1000  # keys; the key-value store's limit per page
# conditions; allowed in a transaction for each put or delete that the store's limit `txn_ops` allows
COMPARES_PER_OP: Final = 4
MIN_TXN_OPS: Final = 2  # writes; a job's end needs this many in one transaction
# bytes; a transaction is filled up to this size, below the store's limit of 64 KiB, which counts the JSON form
TXN_BYTES: Final = 56 * 1024

# --- leadership -------------------------------------------------------------------------------------
# ratio; of the workers' lease. A failover (the leader's lease, acquiring the key, and up to 5 s until a worker has
# found the new leader) must complete within the workers' lease.
LEASE_OF_WORKER_LEASE: Final = 0.36
LEASE_MIN_S: Final = 2.0  # s; with a shorter lease, ordinary slow responses would cost the leadership
# s; upper bound of the leader's lease, reached if the workers' lease is long; the lease of Strøm's guide
LEASE_MAX_S: Final = 30.0
RENEWAL_INTERVAL_OF_LEASE: Final = 1 / 6  # ratio; of the lease: interval and timeout of renewals, as in Strøm's guide
RENEWAL_INTERVAL_MAX_S: Final = 5.0  # s; upper bound of the renewal interval and timeout, as in Strøm's guide
# ratio; of the lease: how long the leader may act after sending the last successful renewal, as in Strøm's guide
VALIDITY_OF_LEASE: Final = 2 / 3
# s; a loop of the leader is stalled, and the leader steps down, when the loop has sent no heartbeat to the watchdog for
# longer than this plus SELF_RELEASE_S. A gap of at least this length between two checks of the watchdog counts as a
# pause of the whole process, which is not held against the loops.
STALL_LIMIT_S: Final = 10.0
# s; added to STALL_LIMIT_S for the time after which a loop is stalled and the leader steps down. Strøm's guide has
# 30 s, which is longer than the workers' leases here.
SELF_RELEASE_S: Final = 10.0
# heartbeat intervals; a leader that has received heartbeats before steps down when none arrives from any worker for
# this long plus NO_HEARTBEAT_EXTRA_S
NO_HEARTBEAT_INTERVALS: Final = 2.0
NO_HEARTBEAT_EXTRA_S: Final = 1.0  # s; added to NO_HEARTBEAT_INTERVALS
# machines; the leader steps down for missing heartbeats only if at least this many should be sending them
NO_HEARTBEAT_MACHINES: Final = 2
# s; a leader that stepped down for missing heartbeats leaves the key to others for this long
NO_HEARTBEAT_STANDBY_S: Final = 20.0
# s; the controller that precedes the former leader in the workers' order tries to acquire the key this much later; also
# its timeout for asking peers whether they could acquire it instead
ACQUIRE_DEFER_S: Final = 0.2
# s; upper bound of the followers' random delay before they try to acquire a free key. Far below the 0.05 s of the
# previous version, so that during an upgrade the key goes to an upgraded controller, which does not restart again.
ACQUIRE_JITTER_S: Final = 0.004

# --- workers ----------------------------------------------------------------------------------------
LOSS_MARGIN_S: Final = 0.5  # s; added to lease and clock drift before the work of a silent machine is declared lost
# s; a task that still runs this long before its spot machine is reclaimed is stopped, a task that writes checkpoints
# earlier by the time that a checkpoint takes
RECLAIM_STOP_AHEAD_S: Final = 2.5
START_BACKOFF_S: Final = 2.0  # s; first pause before a failed task is tried again; doubles with each failed try
START_BACKOFF_MAX_S: Final = 60.0  # s; upper bound of the pause before a failed task is tried again
# jobs; a machine is quarantined once this many jobs have failed on it and succeeded elsewhere
QUARANTINE_JOBS: Final = 2
# machines; a job that has failed on this many without any success is suspected to be at fault itself
SUSPECT_MACHINES: Final = 2
# machines; the failures of one job count against at most this many. Those on further machines count against none, since
# the job itself may be at fault.
BLAMED_MACHINES_MAX: Final = 3
SUSPECT_JOB_TASKS: Final = 1  # tasks; of a job that is suspected to be at fault, bound at a time
REPLICA_PROOF_S: Final = 20.0  # s; a replica that has run for this long proves that its service can run
MACHINE_AVOID_S: Final = 120.0  # s; a job avoids a machine that refused or failed one of its tasks
LEASE_CHECK_INTERVAL_S: Final = 0.25  # s; interval between checks for machines that are silent past their lease
# tasks; a check stops once it has declared this many lost, so that it takes some 10 ms; the next check continues with
# the other machines
LOST_TASKS_PER_CHECK: Final = 600
# s; minimum time for which a removed machine is remembered, to reject stale copies of its heartbeats: messages may be
# minutes late
TOMBSTONE_S: Final = 900.0
TOMBSTONES_KEPT: Final = 4096  # machines; how many removed ones are remembered for longer than TOMBSTONE_S
# bits; an attempt number is the term shifted left by this, plus a counter, so that it increases across terms
ATTEMPT_COUNTER_BITS: Final = 24

COMMAND_TIMEOUT_S: Final = 2.0  # s; for a worker's response to direct commands
# s; for the response to the first probe of a machine after a failover: most respond within milliseconds, and those that
# hang are probed again with COMMAND_TIMEOUT_S
FIRST_PROBE_TIMEOUT_S: Final = 0.5
# s; first pause after a failed call to a machine, during which commands reach it only in responses to its heartbeats;
# doubles with each failure in a row
COMMAND_BACKOFF_S: Final = 2.0
# s; upper bound of the pause after a failed call; long, so that a machine that stays unreachable costs few calls
COMMAND_BACKOFF_MAX_S: Final = 16.0
# calls; limit of those in flight to workers. Dozens of machines that hang at once could use up a lower limit; with a
# higher one, hundreds of responses at once would delay users' requests.
COMMANDS_IN_FLIGHT_MAX: Final = 96
PROBES_IN_FLIGHT_MIN: Final = 24  # probes; lower bound of the limit of probes in flight
# probes; limit of probes in flight per socket of the quota; the quota grows with the fleet
PROBES_PER_SOCKET: Final = 0.0125
REPEATED_PROBES_SHARE: Final = 0.5  # ratio; of the limit of probes in flight, for machines that did not answer before
# s; a heartbeat that arrives while there is no leader is answered after this long, or as soon as one is elected. It is
# less than WORKER_DROPS_AFTER_S. A worker that is sent away without the leader's label waits 1 s before its next try.
HEARTBEAT_HOLD_S: Final = 2.5
# s; the answer to a heartbeat waits for the next scheduling cycle for this long at most. Workers send their next
# heartbeat no earlier than 0.5 s after the last one, so the wait delays none.
START_HOLD_S: Final = 0.25
OVERDUE_OF_HEARTBEAT: Final = 1.25  # ratio; of the heartbeat interval: longest regular time between two heartbeats
# s; added to the longest regular interval; a machine whose heartbeat is overdue gets no new work and no calls
OVERDUE_EXTRA_S: Final = 1.0
COMMAND_SOCKETS_SHARE: Final = 0.25  # ratio; of the socket quota, for open connections to workers

# --- key-value store ----------------------------------------------------------------------------------
STORE_TIMEOUT_S: Final = 1.5  # s; for a response, which usually takes 10 ms and occasionally a few hundred
WATCH_HOLD_S: Final = 1.0  # s; duration of a watch request; bounds how stale the watch cache can get unnoticed
WATCH_GRACE_S: Final = 2.0  # s; a watch request that is overdue by this much is cancelled
STORE_SHARE: Final = 0.9  # ratio; of the store's rate limits, planned to be used by all controllers together
LEADER_WRITE_SHARE: Final = 0.6  # ratio; of the planned write rate, for the leader
BARRIER_RATE_OF_RPS: Final = 0.12  # ratio; of the store's request rate: read barriers per second of one controller
WATCH_CACHE_STALE_S: Final = 3.0  # s; no task is started while the watch cache is older than this
RETRY_PAUSE_S: Final = 0.25  # s; pause before a failed call is tried again, mostly one to the store
FINAL_RECORDS_CACHED: Final = 20_000  # jobs; ended jobs whose final record is cached in memory
ENDED_MARGIN_S: Final = 10.0  # s; ended jobs are remembered for this much longer than their tasks may live
CHUNK_TASKS: Final = 16_384  # tasks; per progress chunk; larger jobs keep their finished tasks in such separate keys
# tasks; per small progress chunk, used where the store does not accept values as long as a full chunk: at most 0.7 KB
SMALL_CHUNK_TASKS: Final = 4_096
# ratio; of the store's size limit of a value, up to which values are written. The rest is a margin, since it is not
# known how the store encodes JSON before it checks the size.
VALUE_SHARE: Final = 0.9
REGISTRY_PARTS: Final = 32  # keys; over which the machine registry is spread; a full one continues in further keys
QUARANTINED_WRITE_S: Final = 60.0  # s; a write that the store refuses even on its own is quarantined for this long
WRITER_TICK_S: Final = 0.2  # s; finished tasks and state changes are batched for this long per write
PROGRESS_EVERY_S: Final = 6.0  # s; minimum interval between two progress records of a running job
# writes; progress records leave this many in the write budget for urgent ones: the ends of two jobs and two submissions
PROGRESS_RESERVE: Final = 6
# ratio; of the burst of the write budget: upper bound of PROGRESS_RESERVE, which at a low rate would take the whole
# burst
PROGRESS_RESERVE_SHARE: Final = 0.5
# ratio; of the leader's write rate, for progress records: the more jobs run, the less often each is written
PROGRESS_SHARE: Final = 0.4
WATCH_SHARE: Final = 0.4  # ratio; of a controller's request rate, for its watch while changes are frequent

# --- users ------------------------------------------------------------------------------------------
CLI_TIMEOUT_S: Final = 6.0  # s; slightly longer than the 5 s for which users wait
# s; value of the Retry-After header of 503; users wait at least this long before a retry, whatever the header says
RETRY_AFTER_S: Final = 1
ADMIT_QUEUE: Final = 256  # submissions; waiting for one batch; further ones get 503 at once
POLL_QUEUE: Final = 1024  # polls; waiting for one shared read; further ones get 503 at once
# reads; of final records, in flight for polls; a poll that needs one more gets 503
FINAL_READS_IN_FLIGHT_MAX: Final = 32
ADMIT_TRIES: Final = 3  # tries; to commit a batch that the store throttles or that contains an existing job
ADMIT_DEADLINE_S: Final = 3.0  # s; to answer a submission or cancellation, since users wait 5 s
POLL_DEADLINE_S: Final = 1.4  # s; to answer a poll, since users wait 2 s
# s; a controller that alone cannot reach the store for this long reports that it is not ready; after half of this time
# without the store, a controller refuses polls of jobs that it does not know to have ended
READY_STORE_S: Final = 3.0
TEAM_JOBS_PAGE_SIZE: Final = 200  # jobs; per page of a team's list, well below the size limit of a response
NOTES_KEPT: Final = 8  # notes; the newest ones kept per job on why its tasks stopped or wait

# --- http -------------------------------------------------------------------------------------------
IDLE_TIMEOUT_S: Final = 90.0  # s; an incoming connection that is idle for this long is closed
REQUEST_TIMEOUT_S: Final = 10.0  # s; limit for a request to arrive, and for its response to be read
SOCKET_RESERVE: Final = 64  # sockets; of the quota, kept free for outgoing calls to store, cloud and peers
POOL_IDLE_S: Final = 20.0  # s; a pooled connection that was idle for longer is not used again
POOL_MAX: Final = 8  # connections; pooled per address
CONNECT_TIMEOUT_S: Final = 0.7  # s; timeout for opening a connection
CACHED_HEAD_MAX: Final = 1024  # bytes; longer heads of requests and responses are not cached
HEAD_CACHE_SIZE: Final = 2048  # heads; per cache of request or response heads, some 2 MB at most
PEER_SOCKETS: Final = 16  # sockets; for connections from the other controllers

# --- placement --------------------------------------------------------------------------------------
SCHEDULING_INTERVAL_S: Final = 0.03  # s; minimum time between two scheduling cycles
CYCLE_BUDGET_S: Final = 0.03  # s; time budget of a scheduling cycle; the next one continues from there
# samples; without a feasible machine, after which all candidates are listed and filtered
SAMPLES_BEFORE_LISTING: Final = 3
CANDIDATE_SAMPLE: Final = 24  # machines; sampled per task, of which the best fit is used
# score; added for an image that must be fetched. The machine with the lowest score is used; one with all CPUs free
# scores 1.
FETCH_WEIGHT: Final = 4.0
# score; added for a machine on the market (spot or on-demand) that is not preferred, for work that may use both
SPOT_MISMATCH_WEIGHT: Final = 0.5
# score; added for each replica of the same latency-sensitive service on the machine; one with all CPUs free scores 1
SPREAD_WEIGHT: Final = 1.0
# score; times the share of the job's tasks that are in the machine's zone; a machine with all CPUs free scores 1
ZONE_BALANCE_WEIGHT: Final = 1.0
PREEMPT_SAMPLE: Final = 48  # machines; sampled in the search for the cheapest preemption victims
# s; after a failed search for preemption victims, jobs of the same class do not search again for this long
FAILED_SEARCH_PAUSE_S: Final = 0.5
# s; a job with no task running for this long is starved and goes before all but production jobs. Users allow four
# minutes until a job begins, and several jobs may be starved at once.
STARVATION_S: Final = 75.0
STARVED_RESERVATION_S: Final = 30.0  # s; a machine is reserved for a starved job this long, until enough of it is free
PREEMPT_PER_CYCLE: Final = 8  # tasks; of one job, for which preemption frees room per scheduling cycle
# s; cost of a preemption besides the lost run time: fetching the image and starting again
PREEMPT_BASE_S: Final = 5.0
# s; how long a job waits for room freed by preemption on machines that hold its image, before it may use any machine
WARM_PREEMPTION_WAIT_S: Final = 1.0
# factor; on PREEMPT_SAMPLE for gangs, which need room on several machines at once
GANG_SAMPLE_FACTOR: Final = 4
# gangs; for each job class whose tasks should start within seconds, headroom for this many is kept free in one zone
GANG_HEADROOM: Final = 1.0
GANG_HOLD_S: Final = 30.0  # s; machines are held for a gang for this long; most tasks running on them end within it
GANG_HOLD_MACHINES: Final = 16  # machines; held for one gang at most
GANG_HOLD_SHARE: Final = 0.1  # ratio; of the machines, held for all gangs together
PREEMPTION_WAIT_S: Final = 5.0  # s; how long a job waits for room freed by preemption before it preempts more

AMOUNT_TOLERANCE: Final = 1e-6  # CPUs, GPUs or GB; amounts that differ by less are considered equal
FREE_CPU_CLASSES: Final = 65  # classes; of machines by whole free CPUs: 0 to 63, and the last one for 64 and more

# --- fleet ------------------------------------------------------------------------------------------
CLOUD_SHARE: Final = 0.8  # ratio; of the cloud's rate limit, planned to be used by the leader
CLOUD_TIMEOUT_S: Final = 5.0  # s; for a response of the cloud
LIST_EVERY_S: Final = 4.0  # s; minimum interval between two readings of the machine list
# ratio; at most this share of our planned request rate to the cloud is spent on reading pages of the machine list
LIST_SHARE: Final = 0.5
CATALOG_EVERY_S: Final = 60.0  # s; interval between readings of the catalog once it is known
# s; first pause before an instance offer that was refused is requested again; doubles with each refusal in a row
NO_CAPACITY_S: Final = 8.0
NO_CAPACITY_MAX_S: Final = 24.0  # s; upper bound of the pause after refused requests for an instance offer
# ratio; of the boot time of its type: how long an idle machine is kept where cost is optimised for. Keeping it for the
# whole boot time, the break-even point against renting again, cost more.
IDLE_OF_BOOT: Final = 0.5
# s; how long an idle machine is kept where latency is optimised for, as objectives leave no time to boot another
IDLE_RETURN_LATENCY_S: Final = 600.0
# ratio; of the CPUs in use, kept free where latency is optimised for, since bursts arrive within minutes
LATENCY_HEADROOM: Final = 0.3
# ratio; of the published boot time of its type, after which an instance is late: most boots take 0.6 to 1.5 of the
# published time
BOOT_LATE: Final = 1.6
# ratio; of the median observed boot time. With MIN_BOOT_TIMES observations, an instance is late after the larger of
# BOOT_LATE * published boot time and BOOT_LATE_OF_OBSERVED * median observed boot time, plus BOOT_EXTRA_S.
BOOT_LATE_OF_OBSERVED: Final = 1.2
# ratio; of the published boot time, after which a boot counts as failed while there are few observations
BOOT_FAILED: Final = 4.0
# ratio; of the published boot time, used instead of BOOT_FAILED once there are MIN_BOOT_TIMES observations
BOOT_FAILED_OBSERVED: Final = 2.2
# ratio; of the longest observed boot time. With MIN_BOOT_TIMES observations, a boot counts as failed after the larger
# of BOOT_FAILED_OBSERVED * published boot time and BOOT_FAILED_OF_OBSERVED * longest observed one, plus BOOT_EXTRA_S.
BOOT_FAILED_OF_OBSERVED: Final = 1.3
# s; added to the limit for a late and for a failed boot: short boot times say little about the time until the first
# heartbeat
BOOT_EXTRA_S: Final = 10.0
BOOT_TIMES_KEPT: Final = 32  # boots; latest ones of each machine type whose times are kept
MIN_BOOT_TIMES: Final = 8  # boots; with fewer observations only the published boot time is used
# ratio; of the late instances, replaced while they may still come up; not all, since if all are late, replacements
# would be late as well
LATE_REPLACED_SHARE: Final = 0.5
LATE_REPLACED_MIN: Final = 2  # machines; minimum number of late instances that are replaced
# s; a machine that sends no heartbeat for this long after its tasks were declared lost is returned; an instance that
# the cloud lists as running, but that has never sent a heartbeat, after twice this time
UNRESPONSIVE_RETURN_S: Final = 30.0
SCALE_OUT_TRIES: Final = 4  # tries; of one rental request before its capacity is planned again
DEADLINE_SHARE: Final = 0.9  # ratio; of the time to a deadline, planned for, since estimates are often wrong
ESTIMATE_SLACK: Final = 1.3  # ratio; factor on estimated run times, which are often wrong by half
# s; slack on top of boot, fetch and run time. While more time than this sum is left until the deadline of work that
# may use spot machines, which cost less than half, no on-demand machine is rented for it.
ON_DEMAND_DELAY_S: Final = 8.0
# s; interval between two capacity plans, which take long if much work is unschedulable; short compared with a boot
PLAN_EVERY_S: Final = 1.0
FLEET_TICK_S: Final = 0.25  # s; interval of the fleet loop, which rents, lists and returns machines
UTILISATION_LOG_S: Final = 10.0  # s; interval between debug log lines on the fleet's utilisation
REBALANCE_INTERVAL_S: Final = 5.0  # s; interval between rebalancings, which move services to fuller machines
# ratio; of the usable machines, drained at once by a rebalancing: the share is rounded down, but one machine is drained
# in any case. None is drained while more machines than the rounded share are booting.
REBALANCE_DRAIN_SHARE: Final = 0.01
# machines; per machine to drain, checked in detail for whether they can be drained, those with the fewest used CPUs for
# their price first
REBALANCE_CANDIDATES: Final = 8
MIN_RUN_BEFORE_MOVE_S: Final = 60.0  # s; a replica must have run for this long before it is moved to save cost
# s; minimum charge for a machine: returning it sooner saves nothing. Also taken as the boot time of a machine type that
# is not in the catalog.
MIN_CHARGE_S: Final = 60.0

# --- membership -------------------------------------------------------------------------------------
PAUSE_DETECTION_S: Final = 0.25  # s; a tick that is later than this shows that the process itself was not running
HEARTBEAT_INTERVALS_KEPT: Final = (
    64  # intervals; latest ones between a peer's heartbeats, used for their mean and deviation
)
MIN_HEARTBEAT_INTERVALS: Final = 8  # intervals; with fewer the configured heartbeat interval is used
PRESENCE_RENEW_OF_LEASE: Final = 0.25  # ratio; of the presence lease: renewal interval, so that three may be missed
HANDOVERS_KEPT: Final = 100  # handovers; latest ones to this controller, kept for its metrics
SHUTDOWN_WAIT_S: Final = 10.0  # s; a controller that shuts down waits for a successor for this long at most
# s; after waiting for a successor, a controller that is shutting down keeps answering and redirecting for this long
SHUTDOWN_LINGER_S: Final = 1.0
REFUSAL_LOG_INTERVAL_S: Final = 10.0  # s; minimum interval between log lines on refused membership messages

# --- peers ------------------------------------------------------------------------------------------
PROMISE_S: Final = 2.0  # s; duration of a promise neither to lead nor to acquire the key
PROMISE_EVERY_S: Final = 0.6  # s; interval between renewals of a promise
PROMISE_AFTER_S: Final = 1.0  # s; a controller that has been without the store for this long asks for promises
PROMISE_MARGIN_S: Final = 0.2  # s; subtracted from a promise by the controller that got it, for drift and late timers
# s; the margin in `cancel_s - lease_s - margin`: a worker's lease may be renewed while cancellations younger than this
# age may be unknown. Covers the drift over `cancel_s` and `lease_s`, the latency of a response, and the interval at
# which a worker checks its lease.
RENEW_MARGIN_S: Final = 2.0
CANCEL_SLACK_S: Final = 0.5  # s; added to `cancel_s` before a cancelled task counts as ended, for drift and rounding
# ratio; of `cancel_s`: how long a cancellation is remembered; its tasks have ended after one `cancel_s`
CANCELLED_KEPT: Final = 2.0
# jobs; cancellations listed in one answer to a peer, some 30 of the 64 KB of a body; if there are more, none is listed
CANCELLATIONS_LISTED_MAX: Final = 2000
PEER_TIMEOUT_S: Final = 0.6  # s; for a response of another controller
