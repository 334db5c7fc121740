"""The constants of the decisions, each with its unit and the reason for its value; see docs/design.md."""

SECOND_US = 1_000_000

# Concurrency limit of an upstream
MAX_CONCURRENCY = 8  # attempts in flight at one upstream from one sidecar, however quick its answers
MIN_CONCURRENCY = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
CONCURRENCY_GROWTH = 0.4  # slots per round of answers, by the distance from the target load; 0.8 is too rash
TARGET_LOAD = 0.7  # of the slow latency, where limits settle: more lets upstreams choke, less rejects early
MAX_LATENCY_RATIO = 4.0  # a higher ratio of an answer's latency to the mean counts as this
LATENCY_RATIO_MEMORY = 4  # answers in the moving average of an upstream's latency ratio

# Outlier detection
FAULT_MEMORY = 4  # attempts in the moving average of an upstream's faults
MAX_FAULT_SHARE = 0.35  # two faults in three attempts may be by chance where all is healthy
POOL_FAULT_MEMORY = 64  # attempts in the moving average of the faults of a pool
POOL_FAULT_FACTOR = 2  # multiple of the pool's faults that chance adds to one upstream's few attempts
MAX_POOL_FAULT_ALLOWANCE = 1 / 3  # upper bound of that, so that four faults in a row always count
LOST_ATTEMPT_OVERTAKES = 4  # later attempts answered earlier: then it is lost rather than queued
UNANSWERED_MEMORY = 16  # attempts of a class in the moving average of those an upstream leaves unanswered
UNANSWERED_TOLERANCE = 0.1  # at this share the selection weight is a quarter: far above late by chance
REJECTION_TOLERANCE = 0.1  # at this share of rejections of a class the weight is half: each costs a retry
MAX_QUEUE_HEADROOM = 8  # rejections in a row, after quick answers, until an upstream counts as full
EJECTION_TIMEOUT_STREAK = 3  # unanswered attempts of a class in a row that eject an upstream for the class
MAX_TIMEOUT_STREAK = 5  # longer streaks eject for no longer
MAX_EJECTED_SHARE = 2 / 3  # with more upstreams ejected for a class the fleet is slow: none is ejected
MAX_PLANNED_EJECTED_SHARE = 0.5  # a plan that ejects more is wrong, and its ejections are ignored

# Slow start
WARMING_SAFETY_FACTOR = 1.3  # a warming upstream that is slow gets its guaranteed share divided by this
MAX_OVERCOMMIT_SHARE = 0.5  # of the overload that breaks a warming upstream; the rest is for bursts
MAX_SLOW_START_CREDIT = 0.5  # of a request: the most that a warming upstream saves up
MIN_OBSERVED_SHARE = 0.2  # of the warm-up time: shorter observations count as if they had lasted this long
OVERCOMMIT_GAIN = 0.5  # relative change of the overcommit per answer, by the distance from the target load
MAX_COST_WHILE_WARMING = (
    4.0  # times the mean cost: costlier requests go to warm upstreams, if any
)
DEMAND_CREDIT_SHARE = 0.1  # of an answer: the slow-start credit of an admitted request, where all are warming

# Subset of the upstreams that a sidecar uses
MIN_SUBSET_SIZE = 4  # upstreams, for a sidecar with next to no traffic
ATTEMPT_RATE_PER_MEMBER = 1.5  # per second: with fewer an upstream is hardly measured, with more crowded

# Admission
ADMISSION_GAIN = 2.4  # per second: one second of slow answers cuts admission to a tenth, before queues fill
MIN_ADMISSION_RATE = 0.1  # if the service itself has slowed down, admitting less does not help
MAX_ADMISSION_CREDIT = 2.0  # selections
MAX_LOAD = 2.0  # of the slow latency: what times out or fails counts as this
LOAD_MEMORY = 8  # answers in the moving average of a pool's load
RATE_MEMORY_US = 5 * SECOND_US
BURST_MEMORY_US = SECOND_US // 2  # a start or a burst is seen within it; shorter, a light sidecar seems busy
TENANT_MEMORY = 200  # arrivals: a tenant at twice its quota is then no chance
OVERLOAD_START_SHARE = 0.2  # share of arrivals that find no slot
OVERLOAD_END_SHARE = 0.02
LOG_INTERVAL_US = SECOND_US  # at most one log line, however many upstreams change

# Attempts, retries and hedged requests
LATENCY_MEMORY = 8  # answers in the moving average of a class's latency
MAX_RELATIVE_COST = 4.0  # of the mean: one costly request must not move the mean cost
RETRY_BUDGET_RATIO = 0.2  # retries earned per first attempt: a fifth of the fleet may fail every attempt
MAX_RETRY_BUDGET = 5.0  # retries saved up in a calm spell
ATTEMPT_TIMEOUT_FACTOR = 4  # times the mean latency, for an attempt that may be retried
HEDGE_DELAY_FACTOR = 2  # times the mean latency: early enough to be in time, late enough to be rare
RETRY_PRIORITY_FACTOR = 0.5  # in a retry storm each further attempt has half the priority of the one before
MIN_RETRY_AFTER_SHARE = 0.1  # of a storm's window: no client comes back sooner

# Polling of the endpoint list
FLEET_POLL_INTERVAL_US = 50_000  # between the polls of the whole fleet at first: twenty a second
MIN_POLL_BACKOFF_US = 250_000  # long beside one poll, short beside a drain
MAX_LIST_STALENESS_US = 6 * SECOND_US  # by then a change must be known (protocol)
MAX_POLL_DURATION_US = 2 * SECOND_US  # of these, left to a poll to wait for discovery and to be answered
MAX_BACKOFF_DOUBLINGS = 20
