"""Constants of the decision module, each with its unit; docs/design.md describes the rules that use them."""

SECOND_US = 1_000_000

# Concurrency limit of an upstream. The load that an answer shows is the ratio of its latency to the slow
# latency, which is half the latency objective of its class.
MAX_CONCURRENCY = 8  # attempts in flight at one upstream from one sidecar
MIN_CONCURRENCY = 1 / 64  # attempts; a failing upstream gets about one attempt in 64 mean latencies
CONCURRENCY_GROWTH = 0.4  # attempts added to the limit per answer and per unit of load below the target
TARGET_LOAD = 0.7  # load at which concurrency limits neither grow nor shrink
MAX_LOAD = 2.0  # highest load of an attempt; timeouts and failures count as this
MIN_LATENCY_RATIO = 0.1  # lowest ratio of an answer's latency to the class mean; lower ratios count as this
MAX_LATENCY_RATIO = 4.0  # highest ratio of an answer's latency to the class mean; higher ratios count as this
LATENCY_RATIO_WINDOW = 4  # answers in the moving average of an upstream's latency ratio
SHORTAGE_DURATION_FACTOR = 4  # multiple of the slow latency for which slots count as needed after a shortage

# Outlier detection
FAULT_WINDOW = 4  # attempts in the moving average of an upstream's share of faults
MAX_FAULT_SHARE = 0.35  # tolerated share of faults of an upstream whose pool has no other faults
POOL_FAULT_WINDOW = 64  # attempts in the moving average of a pool's share of faults
POOL_FAULT_FACTOR = 2  # multiple of the pool's share of faults that is tolerated in addition
MAX_POOL_FAULT_ALLOWANCE = 1 / 3  # limit of the additional share, so that four faults in a row always count
# An unanswered attempt counts as lost, not queued, once this many later attempts at the same upstream were
# answered.
LOST_ATTEMPT_OVERTAKE_THRESHOLD = 4
UNANSWERED_WINDOW = 16  # attempts of a class in the moving average of an upstream's unanswered share
UNANSWERED_TOLERANCE = 0.1  # share of unanswered attempts at which the selection weight is a quarter
REJECTION_TOLERANCE = 0.1  # share of rejections of a class at which the selection weight is half
# Limit of the fast answers that count as headroom. Each rejection uses up one of them, so after 8 rejections
# in a row an upstream counts as full, however many fast answers it gave before.
MAX_QUEUE_HEADROOM = 8
EJECTION_TIMEOUT_STREAK = 3  # unanswered attempts of a class in a row that eject an upstream for the class
MAX_TIMEOUT_STREAK = 5  # unanswered attempts in a row; longer streaks do not prolong the ejection
# If a class would eject a larger share of the upstreams, the whole fleet is slow, and none is ejected.
MAX_EJECTED_SHARE = 2 / 3
# A plan that ejects a larger share of the upstreams is faulty, and its ejections are ignored.
MAX_PLANNED_EJECTED_SHARE = 0.5
EJECTION_LOG_THRESHOLD = 0.25  # concurrency limit below which an upstream is logged as ejected
RESTORATION_LOG_THRESHOLD = 1.0  # concurrency limit at which an ejected upstream is logged as restored
MIN_MEMBER_CONCURRENCY_LIMIT = 0.5  # concurrency limit below which an upstream leaves the subset

# Slow start
MIN_OVERCOMMIT = 1 / 1.3  # least traffic of slow warming upstreams, as a multiple of guaranteed capacity
MAX_OVERCOMMIT_SHARE = 0.5  # highest overcommit as a share of `overload_factor`; the rest is for bursts
OVERCOMMIT_GAIN = 0.5  # relative change of the overcommit per answer and per unit of load below the target
MAX_SLOW_START_CREDIT = 0.5  # requests; limits the credit that a warming upstream accumulates
# The long-term throughput counts as observed for at least this share of its averaging time.
MIN_OBSERVED_TIME_SHARE = 0.2
MAX_COST_WHILE_WARMING = 4.0  # multiple of the mean cost; costlier requests avoid warming upstreams
DEMAND_CREDIT_SHARE = 0.1  # slow-start credit for an arrival, relative to that for an answer

# Upstreams of one kind (warming, outside the subset) that one event looks at; the next event continues
# behind them. Without a limit the work for each request would grow with the fleet.
MAX_UPSTREAMS_PER_EVENT = 256

# Subset of the upstreams that a sidecar uses
MIN_SUBSET_SIZE = 4  # upstreams in the subset of a sidecar with hardly any traffic
ATTEMPT_RATE_PER_MEMBER = 1.5  # attempts per second for which the subset gets one more upstream

# Admission
ADMISSION_GAIN = 2.4  # per second: one second of slow answers cuts admission to a tenth, before queues fill
MIN_ADMISSION_FACTOR = 0.3  # lowest factor by which one answer changes the admitted share
MIN_ADMITTED_SHARE = 0.1  # lowest admitted share; less would not help a service that has slowed down
MAX_ADMISSION_CREDIT = 2.0  # admitted selections that can be kept for later
LOAD_WINDOW = 8  # answers in the moving average of a pool's load
RATE_TIME_CONSTANT_US = 5 * SECOND_US  # time constant of averaged rates
BURST_TIME_CONSTANT_US = SECOND_US // 2  # time constant of the burst rate; short, to follow starts and bursts
TENANT_WINDOW = 200  # arrivals over which the counts by tenant decay
PLACEMENT_WINDOW = 200  # arrivals in the moving average of the share that found no slot
OVERLOAD_START_SHARE = 0.2  # an overload begins when a larger share of the arrivals finds no slot
OVERLOAD_END_SHARE = 0.02  # an overload ends when at most this share of the arrivals finds no slot
LOG_INTERVAL_US = SECOND_US  # shortest interval between two log lines, however many upstreams change

# Attempts, retries and hedged requests
LATENCY_WINDOW = 8  # answers in the moving average of a class's latency
COST_WINDOW = 200  # requests in the moving average of the cost hints
MAX_RELATIVE_COST = 4.0  # multiple of the mean cost; higher hints count as this, to keep the mean stable
RETRY_BUDGET_RATIO = 0.2  # retries added to the budget per first attempt
MAX_RETRY_BUDGET = 5.0  # retries that the budget holds at most
ATTEMPT_TIMEOUT_FACTOR = 4  # timeout of an attempt that may be retried, as a multiple of the mean latency
HEDGE_DELAY_FACTOR = 2  # time after which a request is hedged, as a multiple of the mean latency
RETRY_PRIORITY_FACTOR = 0.5  # in a retry storm, priority of a retry relative to the attempt before it
MIN_RETRY_AFTER_SHARE = 0.1  # shortest Retry-After in a retry storm, as a share of the window

# Polling of the endpoint list
FLEET_POLL_INTERVAL_US = 50_000  # mean interval between the first polls of the fleet after a failure
MIN_POLL_BACKOFF_US = 250_000  # shortest backoff span: much longer than a poll, much shorter than a drain
MAX_LIST_STALENESS_US = 6 * SECOND_US  # time within which the protocol requires that a list change is known
MAX_POLL_DURATION_US = 2 * SECOND_US  # part of the staleness that is reserved for one poll and its answer
MAX_BACKOFF_DOUBLINGS = 20
