"""All decisions of the balancer. Its interface, types, events and actions: ryepier/balancer/interface.py.

Everything is slots (docs/design.md): a request takes a free slot of a random upstream, waits in the ONE
buffer when none is free, is refused when that is taken, and is reissued through a slot.
"""

import heapq
import math
import random

from ryepier.balancer import interface as api

MAX_SLOTS = 8  # no upstream gets more from one sidecar, however quick its answers
NEVER_RAN = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
INSTANT_FAULTS = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.ERROR, api.Outcome.RESET)
ANSWERED = (
    api.Outcome.OK,
    api.Outcome.MALFORMED_RESPONSE,
)  # it has done the work, and its time tells of its load
# hazard: an upstream failing a part would lose them all
REISSUED = (*INSTANT_FAULTS, api.Outcome.MALFORMED_RESPONSE, api.Outcome.TIMEOUT)
FAULT_MEMORY = 4  # attempts that make up an upstream's share of faults
FAULT_SHARE = 0.35  # two faults in three attempts, where all is well; more is by chance where all fail a part
FLEET_MEMORY = 64  # attempts that make up the share of faults at all upstreams together
FLEET_FAULT_FACTOR = 2  # times that share is what chance adds to an upstream's own, over so few attempts
MAX_FLEET_FAULT_ALLOWANCE = 1 / 3  # adds no more, so that four faults in a row tell, however many fail
MIN_WINDOW = 1 / 64  # a failing upstream is tried about once in 64 usual answer times
WINDOW_GROWTH = 0.4  # slots a round of answers moves, by the distance from the target load; 0.8 is too rash
TARGET_LOAD = 0.7  # of the slow time, where slots settle: more lets upstreams choke, less refuses early
TENANT_MEMORY = 200  # arrivals: enough to tell a tenant at twice its share from chance, soon forgotten
COLD_SAFETY_FACTOR = 1.3  # a cold upstream that is slow gets so many times less than its sure share
MAX_COLD_OVERCOMMIT = 0.5  # of the overload that pushes a cold one over; the rest is for lumps
MAX_SLOW_START_CREDIT = 0.5  # of a request that a cold upstream may still get for what it has waited for
MIN_USUAL_WEIGHT = 0.2  # of the warm-up's time, as smoothed: what was seen for less counts as if for so long
COLD_GAIN = 0.5  # a cold one's answer moves their share by this, by the distance from the target load
MAX_COLD_COST = 4.0  # times the usual cost: what costs more goes to warm ones, where there are any
MIN_SUBSET_SIZE = 4  # upstreams whose slots are open to a sidecar with next to no traffic
SENDS_PER_SUBSET_MEMBER = 1.5  # sends a second that call for one more: fewer teach nothing, more crowd it
MAX_LATENCY_RATIO = 4.0  # an answer that takes longer beside the usual one counts as this
LATENCY_RATIO_MEMORY = 4  # answers that make up an upstream's latency ratio
OVERTAKEN = 4  # later sends answered before it tell an attempt that is lost from one that waits its turn
UNANSWERED_MEMORY = 16  # attempts of a class that make up the share that an upstream leaves unanswered
UNANSWERED_TOLERANCE = 0.1  # at this share it is drawn a quarter as often: far more than is late by chance
REJECTION_TOLERANCE = 0.1  # share of a class rejected at which it is drawn half as often: costs a reissue
MAX_QUEUE_HEADROOM = 8  # rejections in a row, after quick answers, that tell a full upstream all the same
EJECTION_TIMEOUT_STREAK = 3  # attempts of a class unanswered in a row: from here on ejected between sends
MAX_TIMEOUT_STREAK = 5  # as if so many
MAX_EJECTED_SHARE = 2 / 3  # hazard: with more ejected than this the fleet is slow, and none is ejected
MAX_PLANNED_EJECTED_SHARE = 0.5  # hazard: a plan that ejects more is wrong, and none is ejected by it
ADMISSION_GAIN = 2.4  # a second of slow answers cuts what is admitted to a tenth; slower, queues fill first
MIN_ADMISSION_RATE = 0.1  # hazard: where service itself has slowed, letting in less mends nothing
MIN_RETRY_AFTER_SHARE = 0.1  # of a storm's window: nobody comes back sooner
SECOND_US = 1_000_000
RETRY_WORTH = 0.5  # in a storm each try counts half of the one before: first ones go first
RATE_MEMORY_US = 5_000_000
BURST_MEMORY_US = 500_000  # a start or a burst is known within it; shorter, a light sidecar would seem busy
RETRY_BUDGET_RATIO = 0.2  # reissues a first send earns: enough for a fifth of the fleet to fail every attempt
MAX_RETRY_BUDGET = 5.0  # reissues in hand after a calm spell
LOG_INTERVAL_US = 1_000_000  # a line a second at most, however many upstreams change
LIST_CALL_INTERVAL_US = 50_000  # between the fleet's calls at first: twenty a second
FIRST_LIST_RETRY_US = 250_000  # discovery back-off starts here: long beside one call, short beside a drain
TOLD_US = 6_000_000  # a change counts as told so long after discovery had it and could be reached (protocol)
LIST_CALL_US = 2_000_000  # of these, left to a call to wait for its turn at discovery and to be answered


class Pool:
    """Upstreams whose admission is controlled together: all of them, or, where traffic between zones has a
    price, those of this zone and those of the others."""

    def __init__(self, now_us: int) -> None:
        """Start with full admission and no measurements at `now_us` (microseconds)."""
        # share of the draws that may take a slot: falls while answers are slow all over
        self.admission_rate = 1.0
        self.admission_credit = 1.0  # draws admitted and not yet used
        self.load = 0.0  # its answers' times of late: 1 = half the aim
        self.cold: list[Server] = []
        self.warm_size = 0.0  # of the others together
        # answers a second that this sidecar sees for a warm one of size 1, and a tenth of those admitted:
        self.warm_throughput = 0.0  # of late
        self.usual_warm_throughput = 0.0  # as long as an upstream takes to warm
        self.usual_weight = 0.0  # how much of that time it has seen, as it was smoothed
        self.warm_throughput_updated_us = now_us
        # the upstreams whose slots are open, in the order of their coming; the others' are closed till needed
        self.subset: dict[Server, None] = {}
        self.send_rate = 0.0  # sends a second, of late
        self.burst_rate = 0.0  # the same, of the last moments only
        self.fault_share = 0.0  # share of all attempts that failed at once or spoilt, smoothed
        self.rates_updated_us = now_us
        self.cold_overcommit = 1.0  # cold ones get so many times what they surely can do


class Server:
    """What this sidecar knows of one ready upstream."""

    def __init__(self, entry: api.Upstream, pool: Pool, classes: int) -> None:
        """Start with one open slot and no measurements; `classes` is the number of request classes."""
        self.entry = entry
        self.pool = pool
        self.slots_in_use = 0  # slots taken by this sidecar's sends
        self.outstanding: list[Attempt] = []  # its attempts that have not ended, in the order of their sends
        # by class, as an upstream may be well for all but some: the share of attempts that had no answer in
        # time, smoothed; how many of late in a row; and until when it is ejected for the class
        self.unanswered_share = [0.0] * classes
        self.timeout_streak = [0] * classes
        self.timeout_ejected_until_us = [0] * classes
        self.rejection_share = [0.0] * classes  # by class: the share that it turned away, smoothed
        self.queue_headroom = 0  # quick answers of late, less the slow ones and what it turned away
        self.window = 1.0  # slots open while it is well; below 1 it is ejected between sends
        self.ejected_until_us = 0
        self.slow_start_credit = 0.0  # while it is cold: requests that it may get; below 0 it waits
        self.latency_ratio = 1.0  # time of its answers beside those of the others, smoothed
        self.growing_fast = False  # its slots open fast until its first slow answer or fault
        self.fault_share = 0.0  # share of its attempts that failed at once or spoilt, smoothed
        self.logged_ejected = False  # as last logged
        self.advice = api.Advice(entry.id)  # of the plan in force; this one changes nothing


class Attempt:
    """One send of a request to an upstream."""

    def __init__(self, server: Server, class_index: int, now_us: int) -> None:
        """Record a send to `server` at `now_us` (microseconds)."""
        self.server = server
        self.entry = server.entry  # as it was listed then
        self.class_index = class_index
        self.sent_us = now_us
        self.overtaken = 0  # answers of its upstream to what was sent later
        self.overtaken_in_class = False  # one of these was to its own class
        self.overdue = False  # it has had no answer for longer than one takes
        self.lost = False  # and holds no slot any more
        self.after_timeout = False  # an earlier attempt of its request had no answer in time
        self.ended: api.Outcome | None = None  # None while it is out


class Request:
    """A request that has no final answer yet, or still has an attempt out."""

    def __init__(self, event: api.RequestArrived, now_us: int) -> None:
        """Record an arrival at `now_us` (microseconds)."""
        self.event = event
        self.arrived_us = now_us
        self.attempts: list[Attempt] = []
        self.done = self.streaming = False

    def outstanding(self) -> int:
        """How many of its attempts have not ended."""
        return sum(1 for attempt in self.attempts if attempt.ended is None)

    def first_that_may_have_run(self) -> Attempt | None:
        """The first attempt that may have reached an upstream's application; None if none can have."""
        return next((attempt for attempt in self.attempts if attempt.ended not in NEVER_RAN), None)


class Balancer:
    """The decisions of one sidecar. Deterministic: the same settings, seed and events give the same
    actions."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Start without upstreams at `now_us` (microseconds on the clock of the later events)."""
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[api.Action] = []
        self.servers: dict[int, Server] = {}  # the ready ones, in the order listed
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.mean_latency_us = [
            c.latency_objective_us / 4 for c in settings.classes
        ]  # by class; at first a guess
        self.mean_cost_us = 0.0  # of requests that tell theirs,
        self.costs_seen = 0  # and how many of late have
        self.pools = [Pool(now_us), Pool(now_us)]  # drawn from in this order; the second may stay empty
        self.usual_memory_us = max(settings.warm_up_us, RATE_MEMORY_US)
        self.retry_budget = MAX_RETRY_BUDGET  # reissues in hand
        self.last_shortage_us = 0  # when a request last found no free slot; tells of a shortage for two aims
        self.shortage_memory_us = 2 * max(c.latency_objective_us for c in settings.classes)
        self.allowed_per_s = max(1.0, sum(t.allowance_per_s for t in settings.tenants))
        self.tenant_seen = [0.0 for _ in settings.tenants]  # arrivals of each, the old ones fading
        self.unsent_share = 0.0  # share of arrivals that found no free slot, the old ones fading
        self.overloaded = False  # as last logged: from a fifth unsent until one in fifty
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int, int]] = []  # (when, what, request, attempt); a heap
        self.planned_ejections_apply = False  # whether the plan's ejections are carried out
        self.class_admission: list[float] = []  # as planned; empty = all are let in
        # by kind, share of an arrival let in and not come
        self.admission_credits: dict[tuple[str, int], float] = {}
        self.storm = api.RetryStormUpdated()  # as last told; this one damps nothing
        self.tenant_weight: list[float] = []  # as planned; empty = judged by what is seen here
        self.armed_us = self.list_failures = 0  # armed: the next timer already asked for; 0 = none
        self.ask_list_us = 0  # when the list is asked for next; 0 = not, as it is subscribed to
        self.unheard_us: int | None = None  # since when a call, or a watch that broke, has brought nothing
        self.call_spread_us = 0  # over how long the repeat was last drawn; 0 = none since the last list
        self.ask_list_at(now_us)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Take in one event and return the actions to carry out, in order. `now_us` must not go back; an
        event that names an unknown request or attempt has no effect of its own."""
        self.now_us = now_us
        if isinstance(event, api.AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, api.RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, api.TimerFired):
            if self.armed_us <= now_us:  # hazard: a stale timer that armed another would never die out
                self.armed_us = 0
            self.run_due()
        elif isinstance(event, api.ClientDisconnected) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted) and event.request in self.requests:
            self.requests[event.request].streaming = True
        elif isinstance(event, api.UpstreamsUpdated):
            self.on_list(event)
        elif isinstance(event, api.PlanUpdated):
            self.on_plan(event)
        elif isinstance(event, api.RetryStormUpdated):
            self.storm = event
        self.fill_from_buffer()
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: api.RequestArrived) -> None:
        """Place a new request, or refuse it if admission control turns it away; a repeated arrival is
        ignored."""
        if event.request in self.requests:
            return
        request = self.requests[event.request] = Request(event, self.now_us)
        if event.tenant < len(self.tenant_seen):
            self.tenant_seen = [seen * (1.0 - 1.0 / TENANT_MEMORY) for seen in self.tenant_seen]
            self.tenant_seen[event.tenant] += 1.0
        if event.cost_us > 0:
            # a few cost many times what the others do: one of them must not move what is usual
            self.costs_seen = min(self.costs_seen + 1, TENANT_MEMORY)
            cost_us = min(event.cost_us, MAX_COLD_COST * (self.mean_cost_us or event.cost_us))
            self.mean_cost_us += (cost_us - self.mean_cost_us) / self.costs_seen
        if self.admits(event):
            self.place(request)
        else:
            self.note_demand()  # hazard: cold ones open with what is asked of them, and would stay shut
            self.finish(request)
        self.unsent_share += (float(not request.attempts) - self.unsent_share) / TENANT_MEMORY
        over = self.unsent_share > (0.02 if self.overloaded else 0.2)
        if over != self.overloaded and self.log("overload begins" if over else "overload ends"):
            self.overloaded = over

    def admits(self, event: api.RequestArrived) -> bool:
        """Whether the planned limit of its class and, in a retry storm, the admitted share of repeated tries
        let a request in. First tries are never turned away because of a storm."""
        index, storm = event.class_index, self.storm
        if index < len(self.class_admission) and not self.admits_share("class", index, self.class_admission[index]):
            return False
        if not storm.active or event.retry_number == 0:
            return True
        share = storm.admission[min(event.retry_number, len(storm.admission) - 1)] if storm.admission else 1.0
        if event.tenant < len(storm.tenant_admission):
            share *= storm.tenant_admission[event.tenant]
        return self.admits_share("try", event.tenant, share)

    def admits_share(self, kind: str, index: int, share: float) -> bool:
        """Whether one more of a kind is within the share of them to let in. Credit spreads the admitted ones
        evenly instead of by chance."""
        credit = self.admission_credits.get((kind, index), 0.0) + share
        self.admission_credits[kind, index] = credit - float(credit >= 1.0)
        return credit >= 1.0

    def log(self, text: str) -> bool:
        """Emit a log line unless one was emitted within `LOG_INTERVAL_US`. Returns whether it was; the caller
        tells of a change again later if it lasts."""
        if self.now_us < self.next_log_us:
            return False  # the change is told later, if it lasts
        self.next_log_us = self.now_us + LOG_INTERVAL_US
        self.actions.append(api.Log(text))
        return True

    def place(self, request: Request) -> None:
        """Send a request through a free slot, else keep it in the buffer, else give its final answer."""
        if self.now_us >= self.latest_start_us(request):
            self.finish(request)
            return
        self.note_demand()
        server = self.draw(request)
        if server is not None:
            self.send(request, server)
            return
        self.last_shortage_us = self.now_us
        if self.may_send(request) and (self.buffer is None or self.value(request) > self.value(self.buffer)):
            # hazard: in a shortage the bulk of cheap requests would keep the dear ones out of every slot
            if self.buffer is not None:
                self.finish(self.buffer)
            self.buffer = request
            until_us = self.now_us + self.half_aim_us(request.event.class_index)
            self.wake(min(until_us, self.latest_start_us(request)), "buffer", request.event.request)
        else:
            self.finish(request)

    def note_demand(self) -> None:
        """Add to admission and slow-start credit for one arriving or repeated request."""
        for pool in self.pools:
            pool.admission_credit = min(pool.admission_credit + pool.admission_rate, 2.0)
            # if all are cold, nothing else opens them
            self.add_slow_start_credit(pool, 0.1 * pool.admission_rate)

    def value(self, request: Request) -> float:
        """The worth of a slot's time given to this request. What is beyond its tenant's share counts less.
        Without a plan the share is judged among the tenants seen here, as a sidecar does not know the total
        rates."""
        s, priority_weight = self.settings, self.class_of(request).priority_weight
        if not s.weight_by_work:
            priority_weight /= self.mean_latency_us[request.event.class_index]
        if request.event.tenant < len(self.tenant_weight):
            priority_weight *= (
                s.over_quota_weight + (1.0 - s.over_quota_weight) * self.tenant_weight[request.event.tenant]
            )
        elif request.event.tenant < len(s.tenants):
            allowed = s.tenants[request.event.tenant].allowance_per_s / self.allowed_per_s
            seen = self.tenant_seen[request.event.tenant] / sum(self.tenant_seen)
            priority_weight *= s.over_quota_weight + (1.0 - s.over_quota_weight) * min(1.0, allowed / seen)
        elif s.tenants:  # a tenant that is not known has no share
            priority_weight *= s.over_quota_weight
        return (
            priority_weight * RETRY_WORTH**request.event.retry_number
            if self.storm.active
            else priority_weight
        )

    def class_of(self, request: Request) -> api.RequestClass:
        """The settings of a request's class."""
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """Half of a class's latency target (us): the longest wait in the buffer, and the latency that counts
        as slow. The other half is left for another attempt."""
        return self.settings.classes[class_index].latency_objective_us // 2

    def useful_until_us(self, request: Request) -> int:
        """The time (us) after which an answer has no worth."""
        kind = self.class_of(request)
        late = kind.deadline_us if kind.late_weight > 0 else kind.latency_objective_us
        return min(request.event.due_us, request.arrived_us + late)

    def latest_start_us(self, request: Request) -> int:
        """The latest time (us) to start an attempt whose answer can be expected in time. At most half the
        latency target is reserved for it: otherwise, after an outage that raised the mean latency above the
        target, nothing would be tried again."""
        answer_us = min(
            self.mean_latency_us[request.event.class_index], self.half_aim_us(request.event.class_index)
        )
        return self.useful_until_us(request) - int(answer_us)

    def fill_from_buffer(self) -> None:
        """Send the buffered request if a slot is free for it."""
        request = self.buffer
        server = self.draw(request) if request is not None else None
        if request is not None and server is not None:
            self.buffer = None
            self.send(request, server)

    def finish(self, request: Request) -> None:
        """Give a request its final answer, the only place that does (rules 1 and 2): refused where repeating
        is harmless, failed otherwise."""
        kind = self.class_of(request)
        harmless = (
            kind.effect == api.Effect.IDEMPOTENT
            or request.first_that_may_have_run() is None
            or (
                kind.effect == api.Effect.IDEMPOTENCY_KEY
                and kind.idempotency_scope == api.IdempotencyScope.ALL
            )
        )
        self.close(request)
        ident = request.event.request
        advice_us = self.retry_after_us(request) if self.settings.retry_after else 0
        self.actions.append(api.Reject(ident, advice_us) if harmless else api.Fail(ident))

    def retry_after_us(self, request: Request) -> int:
        """How long a refused client should stay away (us): about one answer's time, or, in a retry storm, a
        random time within the planned window, so that refused clients do not return together."""
        storm, longest_us = self.storm, self.settings.max_retry_after_us
        if not storm.active or not storm.retry_after_us:
            after_us = self.mean_latency_us[request.event.class_index] * (0.5 + self.random.random())
            return int(min(after_us, longest_us))
        # hazard: cold ones open with what is asked of them; who is told to stay away for long asks less, and
        # they would open later: so this refusal stands for one more, as the usual advice would have brought
        self.note_demand()
        window_us = storm.retry_after_us[min(request.event.retry_number, len(storm.retry_after_us) - 1)]
        if storm.retry_after_in_seconds and longest_us >= SECOND_US:
            # hazard: rounded, all of one second's refusals would come back in the same moment
            most = min(longest_us, max(window_us, 2 * SECOND_US)) // SECOND_US
            return SECOND_US * self.random.randint(1, most)
        return int(min(window_us * self.random.uniform(MIN_RETRY_AFTER_SHARE, 1), longest_us))

    def close(self, request: Request) -> None:
        """Give a request no further attempts, and forget it once none of its attempts is out."""
        request.done = True
        if self.buffer is request:
            self.buffer = None
        if request.outstanding() == 0:
            self.requests.pop(request.event.request, None)

    def open_slots(self, server: Server) -> int:
        """How many sends of this sidecar an upstream may have out now; the one place where its health
        decides."""
        cold = self.warmth(server) < 1.0
        if self.now_us < server.ejected_until_us or (cold and server.slow_start_credit < 0.0):
            return 0
        slots = 1 if cold else max(1, int(server.window))
        return min(slots, server.advice.concurrency_limit) if server.advice.concurrency_limit > 0 else slots

    def judge(self, attempt: Attempt, elapsed_us: int, class_index: int) -> None:
        """Update an upstream's window, latency ratio and ejection, and its pool's admission, from an ended
        attempt that took `elapsed_us`."""
        server, pool, outcome = attempt.server, attempt.server.pool, attempt.ended
        slow_us = self.half_aim_us(class_index)
        # hazard: what spoils answers and breaks connections may do so on all upstreams alike, and one such
        # fault would shut each of them; only turning work away tells at once of the upstream itself
        fault = outcome in INSTANT_FAULTS or outcome is api.Outcome.MALFORMED_RESPONSE
        server.fault_share += (float(fault) - server.fault_share) / FAULT_MEMORY
        pool.fault_share += (float(fault) - pool.fault_share) / FLEET_MEMORY
        fleet_allowance = min(FLEET_FAULT_FACTOR * pool.fault_share, MAX_FLEET_FAULT_ALLOWANCE)
        faulty = outcome is api.Outcome.REJECTED or (
            fault and server.fault_share > FAULT_SHARE + fleet_allowance
        )
        if fault and not faulty and outcome is not api.Outcome.MALFORMED_RESPONSE:
            return  # and its time tells nothing
        load = min(2.0, elapsed_us / slow_us) if outcome in ANSWERED else 2.0
        latency_ratio = MAX_LATENCY_RATIO if faulty else elapsed_us / self.mean_latency_us[class_index]
        latency_ratio = min(max(latency_ratio, 0.1), MAX_LATENCY_RATIO)
        server.latency_ratio += (latency_ratio - server.latency_ratio) / LATENCY_RATIO_MEMORY
        cold = self.warmth(server) < 1.0
        if cold:
            # hazard: they surely can do little, and mostly far more; what they are spared chokes the others
            most = max(1.0, MAX_COLD_OVERCOMMIT * self.settings.overload_factor)
            overcommit = pool.cold_overcommit * (1.0 + COLD_GAIN * (TARGET_LOAD - load))
            pool.cold_overcommit = min(max(overcommit, 1.0 / COLD_SAFETY_FACTOR), most)
        # hazard: a heavy request times out wherever it goes; each repeat would count as one more slow answer
        tells_of_pool = not cold and not attempt.after_timeout
        if tells_of_pool and outcome in (*ANSWERED, api.Outcome.TIMEOUT, api.Outcome.REJECTED):
            # hazard: a light sidecar never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow answer among quick ones
            pool.load += (load - pool.load) / 8
            # hazard: by the long memory alone a start or a burst would be thinned as if answers were few
            sends_per_s = (
                min(pool.send_rate, pool.burst_rate)
                if load < TARGET_LOAD
                else max(pool.send_rate, pool.burst_rate)
            )
            admits_more_or_less = load < TARGET_LOAD or self.is_overloaded(pool)
            gain = ADMISSION_GAIN / max(1.0, sends_per_s) if admits_more_or_less else 0.0
            pool.admission_rate *= max(0.3, 1.0 + gain * (TARGET_LOAD - load))
            pool.admission_rate = min(1.0, max(pool.admission_rate, MIN_ADMISSION_RATE))
        # hazard: a heavy request is slow by itself; many answers are judged together, each for a little
        step = WINDOW_GROWTH * (TARGET_LOAD - load) / max(server.window, 1.0)
        server.growing_fast = server.growing_fast and step > 0.0 and not faulty
        if server.growing_fast:
            # hazard: at WINDOW_GROWTH one that starts in a busy hour would refuse a third of the first ones
            step = 1.0 - load / TARGET_LOAD
        if faulty:
            # hazard: what fails at once frees its slot at once and so would draw ever more
            server.window /= 2
        elif step < 0.0:
            # hazard: after an outage all would be ejected for long, so slow answers leave the one slot
            server.window = max(server.window * (1.0 + step), min(server.window, 1.0))
        # hazard: slots opened without need (none for two aims), by many sidecars above all, choke bursts
        elif server.window < 1.0 or attempt.sent_us <= self.last_shortage_us + 4 * slow_us:
            server.window += min(server.window, step)
        server.window = min(max(server.window, MIN_WINDOW), float(MAX_SLOTS))
        if server.window < 1.0:
            # hazard: beside answers of seconds, short ejections leave a choked upstream crowded
            busy_us = max(min(self.mean_latency_us[class_index], slow_us), min(elapsed_us, 2 * slow_us))
            ejection_us = busy_us * (1.0 / server.window - 1.0) * (0.5 + self.random.random())
            server.ejected_until_us = self.now_us + int(ejection_us)
        if server.window < 0.5 and server in pool.subset:
            self.leave_subset(server)  # another takes its place; it may come back when its ejection is over
        ejected = server.window < (1.0 if server.logged_ejected else 0.25)
        change = "rests" if ejected else "is back"
        if ejected != server.logged_ejected and self.log(f"upstream {server.entry.id} {change}"):
            server.logged_ejected = ejected

    def is_overloaded(self, pool: Pool) -> bool:
        """Whether a pool's answers are slow in the mean. Hazard: some are slow by chance at any load."""
        return pool.load > TARGET_LOAD

    def warmth(self, server: Server) -> float:
        """The share of its capacity (0 to 1) that an upstream is sure to have (rule 4). It follows the
        slowest warm-up that the settings allow, as an upstream taken for warm too early gets the traffic of
        all sidecars at once."""
        s, age_us = self.settings, self.now_us - server.entry.started_us
        if server.entry.started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        return s.initial_capacity_share + (1.0 - s.initial_capacity_share) * max(0, age_us) / s.warm_up_us

    def count_cold(self, pool: Pool) -> None:
        """Find the cold upstreams of a pool and the total size of the warm ones."""
        listed = [server for server in self.servers.values() if server.pool is pool]
        were_cold, pool.cold = pool.cold, [server for server in listed if self.warmth(server) < 1.0]
        pool.warm_size = sum(self.size(server) for server in listed if self.warmth(server) >= 1.0)
        self.offer_places(pool, [server for server in were_cold if self.warmth(server) >= 1.0])

    def wanted_subset_size(self, pool: Pool) -> int:
        """How many upstreams of a pool this sidecar's traffic needs."""
        return MIN_SUBSET_SIZE + int(pool.send_rate / SENDS_PER_SUBSET_MEMBER)

    def offer_places(self, pool: Pool, newcomers: list[Server]) -> None:
        """Give newcomers, just listed or just warm, the chance of a place in the subset that they would have
        had from the start (reservoir sampling). Each takes the place of a random member, so the fleet gives
        it its part at once, and no sidecar sends to it before its own draw falls on it. Hazard: a full
        subset would never take in an upstream that comes back, which then stays idle; and one that is kept
        by each sidecar that has sent to it while it was cold is crowded once it is warm.
        """
        newcomers = [server for server in newcomers if self.servers.get(server.entry.id) is server]
        if not newcomers or not pool.subset:
            return  # nothing was sent yet: places are taken as draws need them
        listed = sum(1 for server in self.servers.values() if server.pool is pool)
        replaceable = [server for server in pool.subset if server not in newcomers]
        self.random.shuffle(replaceable)
        wanted = self.wanted_subset_size(pool)
        places = max(wanted, len(replaceable))
        for server in newcomers:
            if self.random.random() * listed >= places:
                self.leave_subset(server)
            elif server not in pool.subset and len(pool.subset) >= wanted and replaceable:
                # with a place free nothing is taken: the next draw tries one that is not in the subset
                self.leave_subset(replaceable.pop())
                pool.subset[server] = None

    def leave_subset(self, server: Server) -> None:
        """Close an upstream's slots till they are needed, and its idle connections."""
        if server in server.pool.subset:
            del server.pool.subset[server]
            self.actions.append(api.CloseIdle(server.entry.id))

    def add_slow_start_credit(self, pool: Pool, served: float) -> None:
        """Give each cold upstream of a pool credit for `served` requests (rule 4).

        Its credit grows with the throughput that this sidecar sees for a warm upstream, times its slow-start
        share; over all sidecars that stays within what the pool serves, however high the demand. In a
        shortage the usual throughput counts where it is higher: while many upstreams are cold, the few warm
        ones are overloaded and serve little, and by their present throughput the cold ones would stay unused
        for the whole warm-up. As the usual throughput is a mean over time, its sum over the sidecars does not
        exceed what a warm upstream has served.
        """
        since_us, pool.warm_throughput_updated_us = self.now_us - pool.warm_throughput_updated_us, self.now_us
        if any(self.warmth(server) >= 1.0 for server in pool.cold):
            self.count_cold(pool)
        shares = [self.slow_start_share(server) for server in pool.cold]
        throughput = served / max(pool.warm_size + sum(shares), MIN_WINDOW)
        since_s = since_us / SECOND_US
        usual_throughput = pool.usual_warm_throughput / max(pool.usual_weight, MIN_USUAL_WEIGHT)
        short = self.last_shortage_us > 0 and self.now_us - self.last_shortage_us <= self.shortage_memory_us
        credit = throughput + (since_s * max(0.0, usual_throughput - pool.warm_throughput) if short else 0.0)
        for server, share in zip(pool.cold, shares, strict=True):
            # what it has waited for is made up for, by half a request at most
            server.slow_start_credit = max(
                server.slow_start_credit,
                min(server.slow_start_credit + credit * share, MAX_SLOW_START_CREDIT),
            )
        kept, kept_long = math.exp(-since_us / RATE_MEMORY_US), math.exp(-since_us / self.usual_memory_us)
        pool.warm_throughput = pool.warm_throughput * kept + throughput * SECOND_US / RATE_MEMORY_US
        pool.usual_warm_throughput = (
            pool.usual_warm_throughput * kept_long + throughput * SECOND_US / self.usual_memory_us
        )
        pool.usual_weight = 1.0 - (1.0 - pool.usual_weight) * kept_long

    def slow_start_share(self, server: Server) -> float:
        """The share of a warm upstream's traffic (of size 1) that a cold one gets."""
        return self.size(server) * min(1.0, self.warmth(server) * server.pool.cold_overcommit)

    def size(self, server: Server) -> float:
        """An upstream's size relative to the others: its listed weight where weights speak of size, else
        1."""
        size = server.entry.weight
        return size if self.settings.weighted and 0.0 < size < math.inf else 1.0

    def cost(self, request: Request) -> float:
        """A request's expected work relative to the mean; 1 if it does not tell."""
        return request.event.cost_us / self.mean_cost_us if request.event.cost_us > 0 else 1.0

    def draw(self, request: Request) -> Server | None:
        """Choose an upstream with a free slot at random, or None. The subset that this sidecar's traffic
        needs comes first, then any other; a request goes to the other zones only if this one has no slot for
        it or does not admit it."""
        index = request.event.class_index
        ejected = sum(1 for s in self.servers.values() if self.now_us < s.timeout_ejected_until_us[index])
        ejection_allowed = ejected <= MAX_EJECTED_SHARE * len(self.servers)
        for pool in self.pools if self.may_send(request) else []:
            # hazard: a cold one in no sidecar's use would have to wait till all others are full, and be of no
            # use while it warms; its share is small, and all together have to give it that. It is limited
            # by its credit, so it is not thinned; and a heavy request would be the work of many of them
            cold = {s: None for s in pool.cold if self.warmth(s) < 1.0}
            barred = cold if self.cost(request) > MAX_COLD_COST and len(cold) < len(self.servers) else {}
            if pool.admission_credit < 1.0:
                best = self.free_slots(request, [] if barred else [*cold], ejection_allowed)
            else:
                warm = [s for s in pool.subset if s not in cold]
                best = self.free_slots(request, warm if barred else [*warm, *cold], ejection_allowed)
                if not best or len(pool.subset) < self.wanted_subset_size(pool):
                    # hazard: each sidecar connected to each upstream fills their tables of connections
                    others = [
                        s
                        for s in self.servers.values()
                        if s.pool is pool and s not in pool.subset and s not in barred
                    ]
                    best = self.free_slots(request, others, ejection_allowed) or best
            if best:
                return self.random.choices(best, [share for _, share in best])[0][0]
        return None

    def free_slots(
        self, request: Request, servers: list[Server], ejection_allowed: bool
    ) -> list[tuple[Server, float]]:
        """The upstreams with a slot free for a request, each with its weight in the draw: its free slots,
        reduced for high latency, unanswered and rejected attempts, and by the plan. Upstreams that the
        request has not tried come alone if there are any."""
        tried = [attempt.server for attempt in request.attempts]
        index, bound = request.event.class_index, self.bound_to(request)
        found = []
        for server in servers:
            slots = self.open_slots(server) - server.slots_in_use
            ejected = self.now_us < server.timeout_ejected_until_us[index] and ejection_allowed
            ejected |= server.advice.ejected and self.planned_ejections_apply
            if slots > 0 and not ejected and (bound is None or self.in_group(bound, server)):
                unanswered = 1.0 + server.unanswered_share[index] / UNANSWERED_TOLERANCE
                share = slots / (server.latency_ratio * unanswered) ** 2
                share *= server.advice.weight
                found.append((server, share / (1.0 + server.rejection_share[index] / REJECTION_TOLERANCE)))
        return [pair for pair in found if pair[0] not in tried] or found

    def may_send(self, request: Request) -> bool:
        """Whether rules 1 and 2 allow another attempt now, as far as that does not depend on the upstream."""
        if request.done or request.streaming or self.now_us >= request.event.due_us:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if request.outstanding() > 0 and not self.settings.hedging:
            return False
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        if first is None or kind.effect == api.Effect.IDEMPOTENT:
            return True
        return (
            kind.effect == api.Effect.IDEMPOTENCY_KEY
            and self.now_us - first.sent_us < kind.idempotency_window_us
        )

    def bound_to(self, request: Request) -> Attempt | None:
        """The attempt whose group another one must stay in (rule 2: only there are its repeats dropped); None
        if any upstream will do."""
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        return (
            first
            if kind.effect == api.Effect.IDEMPOTENCY_KEY
            and kind.idempotency_scope != api.IdempotencyScope.ALL
            else None
        )

    def in_group(self, first: Attempt, server: Server) -> bool:
        """Whether an upstream drops the repeats of an attempt."""
        if self.settings.classes[first.class_index].idempotency_scope == api.IdempotencyScope.ZONE:
            return first.entry.zone == server.entry.zone
        return first.entry.failure_domain == server.entry.failure_domain

    def send(self, request: Request, server: Server) -> None:
        """Start an attempt at an upstream; takes a slot, and credit from the budget that applies."""
        pool = server.pool
        if self.warmth(server) < 1.0:
            server.slow_start_credit -= self.cost(request)
        else:
            pool.admission_credit = max(0.0, pool.admission_credit - 1.0)
        server.slots_in_use += 1
        since_us, pool.rates_updated_us = self.now_us - pool.rates_updated_us, self.now_us
        pool.send_rate = pool.send_rate * math.exp(-since_us / RATE_MEMORY_US) + 1_000_000 / RATE_MEMORY_US
        pool.burst_rate = (
            pool.burst_rate * math.exp(-since_us / BURST_MEMORY_US) + 1_000_000 / BURST_MEMORY_US
        )
        pool.subset[server] = None
        # one budget for all that is sent again: in a storm a client's own retry earns none
        earns = RETRY_BUDGET_RATIO if not self.storm.active or request.event.retry_number == 0 else 0.0
        self.retry_budget = min(
            MAX_RETRY_BUDGET, self.retry_budget + (earns if not request.attempts else -1.0)
        )
        latest_us = self.latest_write_us(request)
        attempt = Attempt(server, request.event.class_index, self.now_us)
        attempt.after_timeout = any(one.ended is api.Outcome.TIMEOUT for one in request.attempts)
        request.attempts.append(attempt)
        server.outstanding.append(attempt)
        overdue_us = self.now_us + self.overdue_after_us(attempt.class_index)
        self.wake(overdue_us, "overdue", request.event.request, len(request.attempts) - 1)
        timeout_us = self.timeout_us(request)
        self.actions.append(api.Send(request.event.request, server.entry.id, timeout_us, latest_us))
        if self.settings.hedging and self.class_of(request).effect != api.Effect.NON_IDEMPOTENT:
            index = request.event.class_index  # soon enough to be back in time, late enough to be seldom
            after_us = min(int(2 * self.mean_latency_us[index]), self.half_aim_us(index))
            self.wake(self.now_us + after_us, "copy", request.event.request)

    def latest_write_us(self, request: Request) -> int:
        """The latest time (us) to write a repeat (rule 2), 0 if there is none: a connection may take long to
        come up, and upstreams remember for a limited time what they are to drop."""
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        return (
            first.sent_us + kind.idempotency_window_us
            if first is not None and kind.effect == api.Effect.IDEMPOTENCY_KEY
            else 0
        )

    def overdue_after_us(self, class_index: int) -> int:
        """How long an attempt may go unanswered before it counts as overdue (us): the class's latency target.
        With less, attempts that an overload slows down would be taken for lost."""
        return self.settings.classes[class_index].latency_objective_us

    def on_overdue(self, attempt: Attempt) -> None:
        """Count an attempt that is unanswered for longer than an answer takes.

        An upstream, or a hop before it, may leave some requests unanswered for ever (dropped, waiting for a
        lock, bound for a dead shard), or all of a class, and serve the others well. The time-out comes late,
        and a request that may not be repeated is lost there. So the upstream is drawn less for that class,
        and is ejected for it after several in a row. Known limit: a class that is slow and rare by nature
        also moves to other upstreams after late answers.
        """
        server, index = attempt.server, attempt.class_index
        if attempt.ended is not None or self.settings.classes[index].stream:
            return
        attempt.overdue = True
        server.unanswered_share[index] += (1.0 - server.unanswered_share[index]) / UNANSWERED_MEMORY
        if not attempt.overtaken_in_class:
            server.timeout_streak[index] = min(server.timeout_streak[index] + 1, MAX_TIMEOUT_STREAK)
            if server.timeout_streak[index] >= EJECTION_TIMEOUT_STREAK:
                usual_us = self.overdue_after_us(index) * (0.5 + self.random.random())
                ejection_us = int(usual_us * 2 ** (server.timeout_streak[index] - 1))
                server.timeout_ejected_until_us[index] = self.now_us + ejection_us
        self.give_up_slot(attempt)

    def rejected_with_headroom(self, attempt: Attempt, elapsed_us: int) -> bool:
        """Whether an attempt was rejected by an upstream whose queue is not full.

        What a full upstream accepts waits behind a whole queue, so its answers are slow. One that rejects a
        class, or some of all requests, and answers the others quickly has headroom: it keeps its slots, and
        only the class is drawn less there. Otherwise it would be ejected as if it were full, and the load
        would move to the others. One that rejects more than it answers quickly counts as full.
        """
        server, index = attempt.server, attempt.class_index
        if attempt.ended in ANSWERED:
            quick = elapsed_us < TARGET_LOAD * self.half_aim_us(index)
            headroom = server.queue_headroom
            server.queue_headroom = min(headroom + 1, MAX_QUEUE_HEADROOM) if quick else max(headroom - 1, 0)
            server.rejection_share[index] -= server.rejection_share[index] / FAULT_MEMORY
        if attempt.ended is not api.Outcome.REJECTED:
            return False
        server.rejection_share[index] += (1.0 - server.rejection_share[index]) / FAULT_MEMORY
        server.queue_headroom -= 1
        has_headroom = server.queue_headroom >= 0
        server.queue_headroom = max(server.queue_headroom, 0)
        return has_headroom

    def give_up_slot(self, attempt: Attempt) -> None:
        """Free the slot of an overdue attempt that is presumed lost.

        Otherwise each request that is never answered would hold a slot up to its deadline, until no slot is
        left. The attempt itself stays out, as its answer may still be of use. It is presumed lost if its
        upstream has answered enough later sends; since nothing can overtake what holds the only slot, one
        attempt an upstream may also be presumed lost while the pool answers fast. A slow upstream or fleet
        frees no more. Known limit: an upstream that serves by priority may still work on what was overtaken,
        and then gets up to twice the slots.
        """
        server = attempt.server
        proven = attempt.overtaken >= OVERTAKEN
        lost = [other for other in server.outstanding if other.lost]
        suspected = server.pool.load < TARGET_LOAD and all(other.overtaken >= OVERTAKEN for other in lost)
        if attempt.overdue and (proven or suspected) and len(lost) < max(1, int(server.window)):
            attempt.lost = True
            server.slots_in_use -= 1

    def timeout_us(self, request: Request) -> int:
        """How long to wait for the answer of the next attempt (us): while it is of use; if a repeat may
        follow, a multiple of the class's mean latency."""
        left_us = max(1, self.useful_until_us(request) - self.now_us)
        if (
            self.settings.hedging
            or self.class_of(request).effect == api.Effect.NON_IDEMPOTENT
            or self.retry_budget < 1
        ):
            return left_us
        index, known_us = request.event.class_index, request.event.cost_us
        return min(left_us, max(int(4 * self.mean_latency_us[index]), self.half_aim_us(index), 4 * known_us))

    def send_copy(self, request: Request) -> None:
        """Send a second copy of a slow request to another upstream; the first stays out. Not while a request
        waits in the buffer, as copies would take the slots of requests that have none."""
        if request.outstanding() == 1 and self.buffer is None:
            server = self.draw(request)
            if server is not None and server is not request.attempts[-1].server:
                self.send(request, server)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Update what is known of the upstream, free the slot, and reissue the request or give its final
        answer. Unknown and repeated ends are ignored."""
        request = self.requests.get(event.request)
        attempts = request.attempts[event.attempt : event.attempt + 1] if request is not None else []
        if request is None or not attempts or attempts[0].ended is not None:
            return
        attempt = attempts[0]
        attempt.ended = event.outcome
        server = attempt.server
        server.slots_in_use -= int(not attempt.lost)
        earlier = server.outstanding[: server.outstanding.index(attempt)]
        server.outstanding.remove(attempt)
        # hazard: what others overtook tells nothing of the load; judged by it, an upstream that leaves some
        # unanswered would be cut to one slot, and its time would be that of no answer
        lost = (attempt.lost or attempt.overtaken > 0) and event.outcome is api.Outcome.TIMEOUT
        if not lost and not self.rejected_with_headroom(attempt, event.elapsed_us):
            self.judge(attempt, event.elapsed_us, request.event.class_index)
        if event.outcome in ANSWERED:
            self.add_slow_start_credit(server.pool, 1.0)
            index = attempt.class_index
            server.unanswered_share[index] -= server.unanswered_share[index] / UNANSWERED_MEMORY
            server.timeout_streak[index] = server.timeout_ejected_until_us[index] = 0
            for other in earlier:
                other.overtaken += 1
                other.overtaken_in_class |= other.class_index == index
                if not other.lost:
                    self.give_up_slot(other)
        if event.outcome in (*ANSWERED, api.Outcome.TIMEOUT) and not lost:
            # time-outs count too: else a slow fleet would go on being judged by its few quick answers
            index, mean_us = request.event.class_index, self.mean_latency_us[request.event.class_index]
            elapsed_us = min(event.elapsed_us, 2 * self.half_aim_us(index))
            self.mean_latency_us[index] = max(1.0, mean_us + (elapsed_us - mean_us) / 8)
        if event.final or request.done:
            self.close(request)
        elif request.outstanding() == 0:
            # hazard: when all upstreams are slow at once, time-outs double the load that keeps them slow
            if event.outcome in REISSUED and self.may_send(request) and self.retry_budget >= 1.0:
                self.place(request)
            else:
                self.finish(request)

    def on_list(self, event: api.UpstreamsUpdated) -> None:
        """Take over a new or changed upstream list, or schedule the next call after a failed one."""
        if event.kind is api.ListKind.FAILED:
            self.list_failures += 1
            if self.unheard_us is None:
                self.unheard_us = self.now_us - event.silent_us
            self.ask_list_at(self.next_call_us())
            return
        if event.kind is not api.ListKind.CACHED:
            self.list_failures = self.ask_list_us = self.call_spread_us = 0
            self.unheard_us = None
        if event.kind is not api.ListKind.DELTA:
            self.servers = {e.id: self.servers[e.id] for e in event.upstreams if e.id in self.servers}
        started = []
        for entry in event.upstreams:
            if entry.state is not api.UpstreamState.READY:
                self.servers.pop(entry.id, None)  # rule 3: forgotten the moment we are told
                continue
            away = self.settings.cross_zone_fee > 0 and entry.zone != self.settings.zone
            pool = self.pools[int(away)]
            server = self.servers.get(entry.id)
            if server is None or server.entry.started_us != entry.started_us:
                server = self.start_over(entry, pool)
                started.append(server)
            server.growing_fast |= event.kind is api.ListKind.CACHED
            server.entry = entry
        for server in started:  # beside all that are listed
            if self.warmth(server) < 1.0:  # all sidecars hear of it within moments: no burst of first sends
                server.slow_start_credit = -self.random.random()
        for pool in self.pools:
            self.count_cold(pool)
            pool.subset = {s: None for s in pool.subset if self.servers.get(s.entry.id) is s}
            self.offer_places(pool, [s for s in started if s.pool is pool and self.warmth(s) >= 1.0])
        self.count_planned_ejections()

    def start_over(self, entry: api.Upstream, pool: Pool) -> Server:
        """Add an upstream that is new or has restarted, with no measurements. What was measured before a
        restart describes the former process, whose last faults would keep the new one ejected. The plan's
        advice is about the machine and stays."""
        former = self.servers.get(entry.id)
        server = self.servers[entry.id] = Server(entry, pool, len(self.mean_latency_us))
        if former is not None:
            server.advice = former.advice
        return server

    def on_plan(self, event: api.PlanUpdated) -> None:
        """Replace the plan's advice. It is kept with the listed upstreams only, so that it can't bring back
        one that the list has removed."""
        advice = {one.upstream: one for one in event.advice}
        for ident, server in self.servers.items():
            server.advice = advice.get(ident) or api.Advice(ident)
        self.tenant_weight = event.tenant_weight
        self.class_admission = event.class_admission
        self.count_planned_ejections()

    def count_planned_ejections(self) -> None:
        """Decide whether the plan's ejections apply: not if they would eject more than
        `MAX_PLANNED_EJECTED_SHARE` of the listed upstreams."""
        ejected = sum(1 for server in self.servers.values() if server.advice.ejected)
        self.planned_ejections_apply = ejected <= MAX_PLANNED_EJECTED_SHARE * len(self.servers)

    def longest_call_gap_us(self) -> int:
        """The longest time (us) from a call for the list, or the last word of a watch, to the next call."""
        settings_us = self.settings.max_poll_interval_us // 2 or TOLD_US
        return min(TOLD_US - LIST_CALL_US, settings_us)

    def next_call_us(self) -> int:
        """When to call for the list again after a failure (us).

        Full jitter over a span that grows with the fleet and doubles with each failure: all sidecars fail
        together, and discovery serves few calls at once. The span counts from the start of the failed call,
        so that a call which is given up late does not delay the next one past the time at which a change
        counts as told (rule 3). Once spread over half the longest gap, the calls keep their places; drawn
        anew each time, they would come twice as often in the mean, most of them soon after discovery is back.
        """
        assert self.unheard_us is not None
        latest_us = max(self.now_us, self.unheard_us + self.longest_call_gap_us())
        if self.call_spread_us >= self.longest_call_gap_us() // 2:
            return latest_us
        first_us = max(FIRST_LIST_RETRY_US, LIST_CALL_INTERVAL_US * self.settings.instances)
        self.call_spread_us = min(first_us * 2 ** min(self.list_failures - 1, 20), latest_us - self.now_us)
        return self.now_us + int(self.call_spread_us * self.random.random())

    def ask_list_at(self, at_us: int) -> None:
        """Schedule a call for the list at `at_us`, if lists come on request."""
        if self.settings.polls_endpoints:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def ask_list(self) -> None:
        """Call for the list if a call is due, and schedule the next one in case no answer comes (rule 3)."""
        if self.ask_list_us != 0 and self.now_us >= self.ask_list_us:
            self.actions.append(api.Subscribe(True))
            self.unheard_us = self.now_us
            self.ask_list_at(self.now_us + self.longest_call_gap_us())

    def wake(self, at_us: int, what: str, ident: int, attempt: int = 0) -> None:
        """Have `run_due` do `what` for a request and attempt at `at_us`, but not before the next
        microsecond."""
        heapq.heappush(self.wakeups, (max(at_us, self.now_us + 1), what, ident, attempt))

    def arm(self) -> None:
        """Ask for a timer at the next wake-up, or at the next end of an ejection while a request is
        buffered."""
        times = [self.wakeups[0][0]] if self.wakeups else []
        if self.buffer is not None:  # an ejection ends by time, not by an event
            index = self.buffer.event.class_index
            ends = [max(s.ejected_until_us, s.timeout_ejected_until_us[index]) for s in self.servers.values()]
            times.extend([end_us for end_us in ends if end_us > self.now_us])
        if times and (self.armed_us == 0 or min(times) < self.armed_us):
            self.armed_us = min(times)
            self.actions.append(api.SetTimer(self.armed_us, 0))

    def run_due(self) -> None:
        """Carry out all wake-ups that are due; those of requests that have gone have no effect."""
        while self.wakeups and self.wakeups[0][0] <= self.now_us:
            _, what, ident, number = heapq.heappop(self.wakeups)
            if what == "list":
                self.ask_list()
            elif what == "copy" and ident in self.requests:
                self.send_copy(self.requests[ident])
            elif what == "overdue" and ident in self.requests:
                self.on_overdue(self.requests[ident].attempts[number])
            elif what == "buffer" and self.buffer is not None and self.buffer.event.request == ident:
                self.finish(self.buffer)
