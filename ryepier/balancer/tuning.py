"""The constants of the decisions, each with its unit; docs/design.md describes the rules that use them."""

SECOND_US = 1_000_000

# Concurrency limit of an upstream. The load that an answer shows is its latency relative to the slow latency,
# which is half the latency objective of its class.
MAX_CONCURRENCY = 8  # attempts in flight at one upstream from one sidecar
MIN_CONCURRENCY = 1 / 64  # attempts: a failing upstream is tried about once in 64 mean latencies
CONCURRENCY_GROWTH = 0.4  # attempts added per answer and per unit of load below the target
TARGET_LOAD = 0.7  # load at which limits settle
MAX_LOAD = 2.0  # load: timeouts and failures count as this
MIN_LATENCY_RATIO = 0.1  # latency of an answer relative to the class mean; a lower ratio counts as this
MAX_LATENCY_RATIO = 4.0  # the same; a higher ratio counts as this
LATENCY_RATIO_WINDOW = 4  # answers in the moving average of an upstream's latency ratio
SHORTAGE_DURATION_FACTOR = 4  # times the slow latency, for which a shortage shows that slots are needed

# Outlier detection
FAULT_WINDOW = 4  # attempts in the moving average of an upstream's faults
MAX_FAULT_SHARE = 0.35  # of an upstream's attempts, where the pool has no faults
POOL_FAULT_WINDOW = 64  # attempts in the moving average of the faults of a pool
POOL_FAULT_FACTOR = 2  # times the pool's share of faults, which an upstream may have in addition
MAX_POOL_FAULT_ALLOWANCE = 1 / 3  # share of faults, so that four in a row always count
LOST_ATTEMPT_OVERTAKES = 4  # later attempts answered earlier: an attempt is lost, not queued
UNANSWERED_WINDOW = 16  # attempts of a class in the moving average of those an upstream leaves unanswered
UNANSWERED_TOLERANCE = 0.1  # share of unanswered attempts at which the selection weight falls to a quarter
REJECTION_TOLERANCE = 0.1  # share of rejections of a class at which the selection weight falls to half
MAX_QUEUE_HEADROOM = 8  # rejections in a row, after quick answers, until an upstream counts as full
EJECTION_TIMEOUT_STREAK = 3  # unanswered attempts of a class in a row that eject an upstream for the class
MAX_TIMEOUT_STREAK = 5  # longer streaks eject for no longer
MAX_EJECTED_SHARE = 2 / 3  # of the upstreams: with more ejected for a class the whole fleet is slow
MAX_PLANNED_EJECTED_SHARE = 0.5  # of the upstreams: a plan that ejects more is wrong
EJECTED_LIMIT = 0.25  # concurrency limit below which an upstream is logged as ejected
RESTORED_LIMIT = 1.0  # concurrency limit from which it is logged as restored
SUBSET_MIN_LIMIT = 0.5  # concurrency limit below which an upstream leaves the subset

# Slow start
MIN_OVERCOMMIT = 1 / 1.3  # of its guaranteed share, for a warming upstream that is slow
MAX_OVERCOMMIT_SHARE = 0.5  # of the overload that breaks a warming upstream; the rest is for bursts
OVERCOMMIT_GAIN = 0.5  # relative change of the overcommit per answer and per unit of load below the target
MAX_SLOW_START_CREDIT = 0.5  # of a request: the most that a warming upstream saves up
MIN_OBSERVED_SHARE = 0.2  # of the warm-up time: a shorter observation counts as if it had lasted this long
MAX_COST_WHILE_WARMING = 4.0  # times the mean cost, for a request at a warming upstream
DEMAND_CREDIT_SHARE = 0.1  # slow-start credit of an arrival, relative to that of an answer

# Subset of the upstreams that a sidecar uses
MIN_SUBSET_SIZE = 4  # upstreams, for a sidecar with next to no traffic
ATTEMPT_RATE_PER_MEMBER = 1.5  # attempts per second for which the subset gets one more upstream

# Admission
ADMISSION_GAIN = 2.4  # per second: one second of slow answers cuts admission to a tenth, before queues fill
MIN_ADMISSION_FACTOR = 0.3  # of the admission rate: the most that one answer cuts
MIN_ADMISSION_RATE = 0.1  # share of selections: a service that has slowed down needs no less
MAX_ADMISSION_CREDIT = 2.0  # selections
LOAD_WINDOW = 8  # answers in the moving average of a pool's load
RATE_TIME_CONSTANT_US = 5 * SECOND_US
BURST_TIME_CONSTANT_US = SECOND_US // 2  # a start or a burst shows within it
TENANT_WINDOW = 200  # arrivals in the moving average of each tenant's
PLACEMENT_WINDOW = 200  # arrivals in the moving average of those that find no slot
OVERLOAD_START_SHARE = 0.2  # of the arrivals, without a slot
OVERLOAD_END_SHARE = 0.02  # the same
LOG_INTERVAL_US = SECOND_US  # at most one log line, however many upstreams change

# Attempts, retries and hedged requests
LATENCY_WINDOW = 8  # answers in the moving average of a class's latency
COST_WINDOW = 200  # requests in the moving average of the cost hints
MAX_RELATIVE_COST = 4.0  # times the mean cost: one costly request must not move the mean
RETRY_BUDGET_RATIO = 0.2  # retries earned per first attempt
MAX_RETRY_BUDGET = 5.0  # retries saved up in a calm spell
ATTEMPT_TIMEOUT_FACTOR = 4  # times the mean latency, for an attempt that may be retried
HEDGE_DELAY_FACTOR = 2  # times the mean latency
RETRY_PRIORITY_FACTOR = 0.5  # priority of each further attempt in a retry storm, relative to the one before
MIN_RETRY_AFTER_SHARE = 0.1  # of a storm's window: no client comes back sooner

# Polling of the endpoint list
FLEET_POLL_INTERVAL_US = 50_000  # between the first polls of the whole fleet
MIN_POLL_BACKOFF_US = 250_000  # long beside one poll, short beside a drain
MAX_LIST_STALENESS_US = 6 * SECOND_US  # by then a change must be known (protocol)
MAX_POLL_DURATION_US = 2 * SECOND_US  # part of it that is left to a poll, from its start to its answer
MAX_BACKOFF_DOUBLINGS = 20
