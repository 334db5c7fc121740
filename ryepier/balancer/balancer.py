"""All decisions of the balancer. Its interface, types, events and actions: ryepier/balancer/interface.py.

Everything is slots (docs/design.md): a request takes a free slot of a random upstream, waits in the ONE
buffer when none is free, is refused when that is taken, and is reissued through a slot.
"""

import heapq
import math
import random

from ryepier.balancer import interface as api

MAX_SLOTS = 8  # no upstream gets more from one sidecar, however quick its answers
NEVER_RAN = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
INSTANT_FAULTS = (api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.ERROR, api.Outcome.RESET)
ANSWERED = (api.Outcome.OK, api.Outcome.SPOILT)  # it has done the work, and its time tells of its load
# hazard: an upstream failing a part would lose them all
REISSUED = (*INSTANT_FAULTS, api.Outcome.SPOILT, api.Outcome.TIMEOUT)
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
    """Upstreams thinned together: all, or, where crossing zones costs, this zone's and the others'."""

    def __init__(self, now_us: int) -> None:
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
    """What this sidecar knows of one upstream."""

    def __init__(self, entry: api.Upstream, pool: Pool, classes: int) -> None:
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
    def __init__(self, server: Server, class_index: int, now_us: int) -> None:
        self.server = server
        self.entry = server.entry  # as it was listed then
        self.class_index = class_index
        self.sent_us = now_us
        self.overtaken = 0  # answers of its upstream to what was sent later
        self.overtaken_in_class = False  # one of these was to its own class
        self.overdue = False  # it has had no answer for longer than one takes
        self.lost = False  # and holds no slot any more
        self.ended: api.Outcome | None = None  # None while it is out


class Request:
    def __init__(self, event: api.RequestArrived, now_us: int) -> None:
        self.event = event
        self.arrived_us = now_us
        self.attempts: list[Attempt] = []
        self.done = self.streaming = False

    def outstanding(self) -> int:
        return sum(1 for attempt in self.attempts if attempt.ended is None)

    def first_that_may_have_run(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.ended not in NEVER_RAN), None)


class Balancer:
    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = now_us
        self.actions: list[api.Action] = []
        self.servers: dict[int, Server] = {}  # the ready ones, in the order listed
        self.requests: dict[int, Request] = {}
        self.buffer: Request | None = None
        self.mean_latency_us = [c.aim_us / 4 for c in settings.classes]  # by class; at first a guess
        self.mean_cost_us = 0.0  # of requests that tell theirs,
        self.costs_seen = 0  # and how many of late have
        self.pools = [Pool(now_us), Pool(now_us)]  # drawn from in this order; the second may stay empty
        self.usual_memory_us = max(settings.warm_up_us, RATE_MEMORY_US)
        self.retry_budget = MAX_RETRY_BUDGET  # reissues in hand
        self.last_shortage_us = 0  # when a request last found no free slot; tells of a shortage for two aims
        self.shortage_memory_us = 2 * max(c.aim_us for c in settings.classes)
        self.allowed_per_s = max(1.0, sum(t.allowance_per_s for t in settings.tenants))
        self.tenant_seen = [0.0 for _ in settings.tenants]  # arrivals of each, the old ones fading
        self.unsent_share = 0.0  # share of arrivals that found no free slot, the old ones fading
        self.overloaded = False  # as last logged: from a fifth unsent until one in fifty
        self.next_log_us = now_us
        self.wakeups: list[tuple[int, str, int, int]] = []  # (when, what, request, attempt); a heap
        self.planned_ejections_apply = False  # whether the plan's ejections are carried out
        self.class_admit: list[float] = []  # as planned; empty = all are let in
        # by kind, share of an arrival let in and not come
        self.admission_credits: dict[tuple[str, int], float] = {}
        self.storm = api.StormUpdated()  # as last told; this one damps nothing
        self.tenant_worth: list[float] = []  # as planned; empty = judged by what is seen here
        self.armed_us = self.list_failures = 0  # armed: the next timer already asked for; 0 = none
        self.ask_list_us = 0  # when the list is asked for next; 0 = not, as it is subscribed to
        self.unheard_us: int | None = None  # since when a call, or a watch that broke, has brought nothing
        self.call_spread_us = 0  # over how long the repeat was last drawn; 0 = none since the last list
        self.ask_list_at(now_us)

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        self.now_us = now_us
        if isinstance(event, api.AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, api.RequestArrived):
            self.on_arrival(event)
        elif isinstance(event, api.TimerFired):
            if self.armed_us <= now_us:  # hazard: a stale timer that armed another would never die out
                self.armed_us = 0
            self.run_due()
        elif isinstance(event, api.RequestGone) and event.request in self.requests:
            self.close(self.requests[event.request])
        elif isinstance(event, api.StreamStarted) and event.request in self.requests:
            self.requests[event.request].streaming = True
        elif isinstance(event, api.UpstreamsUpdated):
            self.on_list(event)
        elif isinstance(event, api.PlanUpdated):
            self.on_plan(event)
        elif isinstance(event, api.StormUpdated):
            self.storm = event
        self.fill_from_buffer()
        self.arm()
        actions, self.actions = self.actions, []
        return actions

    def on_arrival(self, event: api.RequestArrived) -> None:
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
        """Whether a class's limit over all sidecars, as planned, and in a storm the share of later tries let
        this one in. First tries are never turned away for a storm."""
        index, storm = event.class_index, self.storm
        if index < len(self.class_admit) and not self.admits_share("class", index, self.class_admit[index]):
            return False
        if not storm.active or event.tries == 0:
            return True
        share = storm.admit[min(event.tries, len(storm.admit) - 1)] if storm.admit else 1.0
        if event.tenant < len(storm.tenant_admit):
            share *= storm.tenant_admit[event.tenant]
        return self.admits_share("try", event.tenant, share)

    def admits_share(self, kind: str, index: int, share: float) -> bool:
        """Whether one more of a kind is within the share of them that may come: evenly, not by chance."""
        credit = self.admission_credits.get((kind, index), 0.0) + share
        self.admission_credits[kind, index] = credit - float(credit >= 1.0)
        return credit >= 1.0

    def log(self, text: str) -> bool:
        if self.now_us < self.next_log_us:
            return False  # the change is told later, if it lasts
        self.next_log_us = self.now_us + LOG_INTERVAL_US
        self.actions.append(api.Log(text))
        return True

    def place(self, request: Request) -> None:
        """Through a free slot, else into the buffer, else refused."""
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
        for pool in self.pools:
            pool.admission_credit = min(pool.admission_credit + pool.admission_rate, 2.0)
            # if all are cold, nothing else opens them
            self.add_slow_start_credit(pool, 0.1 * pool.admission_rate)

    def value(self, request: Request) -> float:
        """The worth of a slot's time given to this request; what is beyond its tenant's share counts less.
        Without a plan the share is judged among the tenants seen here: a sidecar knows no total rates."""
        s, worth = self.settings, self.class_of(request).worth
        if not s.worth_by_work:
            worth /= self.mean_latency_us[request.event.class_index]
        if request.event.tenant < len(self.tenant_worth):
            worth *= s.over_share_worth + (1.0 - s.over_share_worth) * self.tenant_worth[request.event.tenant]
        elif request.event.tenant < len(s.tenants):
            allowed = s.tenants[request.event.tenant].allowance_per_s / self.allowed_per_s
            seen = self.tenant_seen[request.event.tenant] / sum(self.tenant_seen)
            worth *= s.over_share_worth + (1.0 - s.over_share_worth) * min(1.0, allowed / seen)
        elif s.tenants:  # a tenant that is not known has no share
            worth *= s.over_share_worth
        return worth * RETRY_WORTH**request.event.tries if self.storm.active else worth

    def class_of(self, request: Request) -> api.RequestClass:
        return self.settings.classes[request.event.class_index]

    def half_aim_us(self, class_index: int) -> int:
        """The delay threshold, and the time of a slow answer: the other half is left for a new try."""
        return self.settings.classes[class_index].aim_us // 2

    def useful_until_us(self, request: Request) -> int:
        """When an answer stops being worth anything."""
        kind = self.class_of(request)
        late = kind.deadline_us if kind.late_worth > 0 else kind.aim_us
        return min(request.event.due_us, request.arrived_us + late)

    def latest_start_us(self, request: Request) -> int:
        """An attempt that starts later is not expected back in time to be of use. Hazard: after an outage
        that every answer outlasted, nothing would be tried again; so at most half the aim is left for it."""
        answer_us = min(
            self.mean_latency_us[request.event.class_index], self.half_aim_us(request.event.class_index)
        )
        return self.useful_until_us(request) - int(answer_us)

    def fill_from_buffer(self) -> None:
        request = self.buffer
        server = self.draw(request) if request is not None else None
        if request is not None and server is not None:
            self.buffer = None
            self.send(request, server)

    def finish(self, request: Request) -> None:
        """Rule 1 and 2, the one place of final answers: one each; refused only if nothing may have run."""
        kind = self.class_of(request)
        harmless = (
            kind.effect == "idempotent"
            or request.first_that_may_have_run() is None
            or (kind.effect == "deduplicated" and kind.group == "all")
        )
        self.close(request)
        ident = request.event.request
        advice_us = self.retry_after_us(request) if self.settings.retry_after else 0
        self.actions.append(api.Refuse(ident, advice_us) if harmless else api.Fail(ident))

    def retry_after_us(self, request: Request) -> int:
        """About one answer's time, or in a storm any time within what it takes to serve those outside; spread
        lest refused clients return together."""
        storm, longest_us = self.storm, self.settings.max_retry_after_us
        if not storm.active or not storm.wait_us:
            after_us = self.mean_latency_us[request.event.class_index] * (0.5 + self.random.random())
            return int(min(after_us, longest_us))
        # hazard: cold ones open with what is asked of them; who is told to stay away for long asks less, and
        # they would open later: so this refusal stands for one more, as the usual advice would have brought
        self.note_demand()
        window_us = storm.wait_us[min(request.event.tries, len(storm.wait_us) - 1)]
        if storm.whole_seconds and longest_us >= SECOND_US:
            # hazard: rounded, all of one second's refusals would come back in the same moment
            most = min(longest_us, max(window_us, 2 * SECOND_US)) // SECOND_US
            return SECOND_US * self.random.randint(1, most)
        return int(min(window_us * self.random.uniform(MIN_RETRY_AFTER_SHARE, 1), longest_us))

    def close(self, request: Request) -> None:
        request.done = True
        if self.buffer is request:
            self.buffer = None
        if request.outstanding() == 0:
            self.requests.pop(request.event.request, None)

    def open_slots(self, server: Server) -> int:
        """How many of this sidecar's sends an upstream may have now; the one place where health lives."""
        cold = self.warmth(server) < 1.0
        if self.now_us < server.ejected_until_us or (cold and server.slow_start_credit < 0.0):
            return 0
        slots = 1 if cold else max(1, int(server.window))
        return min(slots, server.advice.most_slots) if server.advice.most_slots > 0 else slots

    def judge(self, attempt: Attempt, elapsed_us: int, class_index: int) -> None:
        """How an attempt's end opens or closes its upstream's slots."""
        server, pool, outcome = attempt.server, attempt.server.pool, attempt.ended
        slow_us = self.half_aim_us(class_index)
        # hazard: what spoils answers and breaks connections may do so on all upstreams alike, and one such
        # fault would shut each of them; only turning work away tells at once of the upstream itself
        fault = outcome in INSTANT_FAULTS or outcome is api.Outcome.SPOILT
        server.fault_share += (float(fault) - server.fault_share) / FAULT_MEMORY
        pool.fault_share += (float(fault) - pool.fault_share) / FLEET_MEMORY
        fleet_allowance = min(FLEET_FAULT_FACTOR * pool.fault_share, MAX_FLEET_FAULT_ALLOWANCE)
        faulty = outcome is api.Outcome.FULL or (fault and server.fault_share > FAULT_SHARE + fleet_allowance)
        if fault and not faulty and outcome is not api.Outcome.SPOILT:
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
        if not cold and outcome in (*ANSWERED, api.Outcome.TIMEOUT, api.Outcome.FULL):
            # hazard: a light sidecar never fills its slots; they hold nothing back when all are slow; draws
            # are thinned, at once as queues stay for seconds, but not for one slow answer among quick ones
            pool.load += (load - pool.load) / 8
            # hazard: by the long memory alone a start or a burst would be thinned as if answers were few
            sends_per_s = (
                min(pool.send_rate, pool.burst_rate)
                if load < TARGET_LOAD
                else max(pool.send_rate, pool.burst_rate)
            )
            gain = ADMISSION_GAIN / max(1.0, sends_per_s) if load < TARGET_LOAD or pool.load > 0.5 else 0.0
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
            del pool.subset[server]  # another takes its place; it may come back when its ejection is over
            self.actions.append(api.CloseIdle(server.entry.id))
        ejected = server.window < (1.0 if server.logged_ejected else 0.25)
        change = "rests" if ejected else "is back"
        if ejected != server.logged_ejected and self.log(f"upstream {server.entry.id} {change}"):
            server.logged_ejected = ejected

    def warmth(self, server: Server) -> float:
        """Rule 4: the share of its capacity that an upstream surely has. Hazard: calling it warm any sooner
        lets in all sidecars at one moment, and together they push it over."""
        s, age_us = self.settings, self.now_us - server.entry.started_us
        if server.entry.started_us == 0 or age_us >= s.warm_up_us:
            return 1.0
        return s.cold_share + (1.0 - s.cold_share) * max(0, age_us) / s.warm_up_us

    def count_cold(self, pool: Pool) -> None:
        listed = [server for server in self.servers.values() if server.pool is pool]
        pool.cold = [server for server in listed if self.warmth(server) < 1.0]
        pool.warm_size = sum(self.size(server) for server in listed if self.warmth(server) >= 1.0)

    def add_slow_start_credit(self, pool: Pool, served: float) -> None:
        """Rule 4: a cold upstream gets its share, by warmth, of what this sidecar sees served by its pool,
        so that the fleet sends no more than it serves, however much is asked of it; or, where that is
        more, of what is usual. Hazard: while many are cold the few others are crowded and draws are
        thinned, so by what is served just then the cold ones would be held down with them, and as few
        would be served for the whole warm-up. Over the fleet the usual shares add up to no more than a
        warm one has done: they are means."""
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
        """What a cold upstream gets beside a warm one of size 1."""
        return self.size(server) * min(1.0, self.warmth(server) * server.pool.cold_overcommit)

    def size(self, server: Server) -> float:
        size = server.entry.weight
        return size if self.settings.weighted and 0.0 < size < math.inf else 1.0

    def cost(self, request: Request) -> float:
        """Beside the usual request's, as far as it tells."""
        return request.event.cost_us / self.mean_cost_us if request.event.cost_us > 0 else 1.0

    def draw(self, request: Request) -> Server | None:
        """A random free slot, at one of the few upstreams that this sidecar's traffic needs, else at any; a
        busy zone spills over only what it can't take: a request thinned or without a slot there."""
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
                wanted = MIN_SUBSET_SIZE + int(pool.send_rate / SENDS_PER_SUBSET_MEMBER)
                if not best or len(pool.subset) < wanted:
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
        """The upstreams with a slot free for it, each with its slots, which count less where it is slow."""
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
        """Rules 1 and 2 as far as they don't depend on the upstream."""
        if request.done or request.streaming or self.now_us >= request.event.due_us:
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if request.outstanding() > 0 and not self.settings.second_copies:
            return False
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        if first is None or kind.effect == "idempotent":
            return True
        return kind.effect == "deduplicated" and self.now_us - first.sent_us < kind.memory_us

    def bound_to(self, request: Request) -> Attempt | None:
        """Rule 2: after a keyed attempt that may have run, only those that drop its repeats; None = any."""
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        return first if kind.effect == "deduplicated" and kind.group != "all" else None

    def in_group(self, first: Attempt, server: Server) -> bool:
        """Whether an upstream drops the repeats of such an attempt."""
        if self.settings.classes[first.class_index].group == "zone":
            return first.entry.zone == server.entry.zone
        return first.entry.cell == server.entry.cell

    def send(self, request: Request, server: Server) -> None:
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
        earns = RETRY_BUDGET_RATIO if not self.storm.active or request.event.tries == 0 else 0.0
        self.retry_budget = min(
            MAX_RETRY_BUDGET, self.retry_budget + (earns if not request.attempts else -1.0)
        )
        latest_us = self.latest_write_us(request)
        attempt = Attempt(server, request.event.class_index, self.now_us)
        request.attempts.append(attempt)
        server.outstanding.append(attempt)
        overdue_us = self.now_us + self.overdue_after_us(attempt.class_index)
        self.wake(overdue_us, "overdue", request.event.request, len(request.attempts) - 1)
        timeout_us = self.timeout_us(request)
        self.actions.append(api.Send(request.event.request, server.entry.id, timeout_us, latest_us))
        if self.settings.second_copies and self.class_of(request).effect != "at_most_once":
            index = request.event.class_index  # soon enough to be back in time, late enough to be seldom
            after_us = min(int(2 * self.mean_latency_us[index]), self.half_aim_us(index))
            self.wake(self.now_us + after_us, "copy", request.event.request)

    def latest_write_us(self, request: Request) -> int:
        """Rule 2: a connection may take its time to come up, while upstreams forget what they are to drop."""
        first, kind = request.first_that_may_have_run(), self.class_of(request)
        return first.sent_us + kind.memory_us if first is not None and kind.effect == "deduplicated" else 0

    def overdue_after_us(self, class_index: int) -> int:
        """Few answers take longer than the aim, unless the upstream is slow to all. Hazard: sooner, what
        an overload makes slow would be taken for lost."""
        return self.settings.classes[class_index].aim_us

    def on_overdue(self, attempt: Attempt) -> None:
        """It has had no answer for longer than one takes. Hazard: an upstream, or what lies before it, may
        never answer a part of the requests (dropped, stuck on a lock, bound for a dead shard) or all of a
        class and be well for the others: one that may not be repeated is lost there, and the time-out tells
        of it only after many usual answer times. So the upstream is drawn less for that class, and only now
        and then once it left some in a row unanswered; this holds for one that says nothing at all, too. It
        could do harm where a class is slow by nature and seldom: its late answers then send it elsewhere."""
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
        """Whether it was rejected by an upstream whose queue has headroom: what a full one takes in waits
        behind a whole queue, so its answers are slow. Hazard: one that turns a class away, or a part of all,
        and is quick with the others would be taken for full and ejected, and its peers choke. So it keeps its
        slots, and only the class is drawn less there. One that turns away more than it answers is full after
        all."""
        server, index = attempt.server, attempt.class_index
        if attempt.ended in ANSWERED:
            quick = elapsed_us < TARGET_LOAD * self.half_aim_us(index)
            headroom = server.queue_headroom
            server.queue_headroom = min(headroom + 1, MAX_QUEUE_HEADROOM) if quick else max(headroom - 1, 0)
            server.rejection_share[index] -= server.rejection_share[index] / FAULT_MEMORY
        if attempt.ended is not api.Outcome.FULL:
            return False
        server.rejection_share[index] += (1.0 - server.rejection_share[index]) / FAULT_MEMORY
        server.queue_headroom -= 1
        has_headroom = server.queue_headroom >= 0
        server.queue_headroom = max(server.queue_headroom, 0)
        return has_headroom

    def give_up_slot(self, attempt: Attempt) -> None:
        """Frees the slot of an attempt that is lost: silent for too long, while its upstream answers what was
        sent later. Hazard: each of the few that are never answered would hold a slot to its deadline, many
        usual answer times, till all slots are held and all else is refused. The attempt itself stays out, as
        its answer may still be of use. Nothing can overtake what holds the only slot: so each upstream may
        have one lost on suspicion while others answer fast. A slow or silent one, or fleet, frees no more.
        It could do harm where an upstream serves by priority or shares out its time, and really has in work
        what was overtaken: it then gets up to twice the slots."""
        server = attempt.server
        proven = attempt.overtaken >= OVERTAKEN
        lost = [other for other in server.outstanding if other.lost]
        suspected = server.pool.load < TARGET_LOAD and all(other.overtaken >= OVERTAKEN for other in lost)
        if attempt.overdue and (proven or suspected) and len(lost) < max(1, int(server.window)):
            attempt.lost = True
            server.slots_in_use -= 1

    def timeout_us(self, request: Request) -> int:
        """As long as an answer is of use; where a repeat may follow, what the class usually takes."""
        left_us = max(1, self.useful_until_us(request) - self.now_us)
        if (
            self.settings.second_copies
            or self.class_of(request).effect == "at_most_once"
            or self.retry_budget < 1
        ):
            return left_us
        index, known_us = request.event.class_index, request.event.cost_us
        return min(left_us, max(int(4 * self.mean_latency_us[index]), self.half_aim_us(index), 4 * known_us))

    def send_copy(self, request: Request) -> None:
        """The first runs on. Never in a shortage: copies would take the slots of requests that have none."""
        if request.outstanding() == 1 and self.buffer is None:
            server = self.draw(request)
            if server is not None and server is not request.attempts[-1].server:
                self.send(request, server)

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
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
        self.count_planned_ejections()

    def start_over(self, entry: api.Upstream, pool: Pool) -> Server:
        """Nothing is known of an upstream that is new. Hazard: one that starts again under its name
        mostly was gone before, and by the faults of its last moments it would be ejected for seconds while it
        is well; what is still out to it then is its former self's. Advice is of the machine, so it
        stays."""
        former = self.servers.get(entry.id)
        server = self.servers[entry.id] = Server(entry, pool, len(self.mean_latency_us))
        if former is not None:
            server.advice = former.advice
        return server

    def on_plan(self, event: api.PlanUpdated) -> None:
        """Hazard: advice must never bring back what the list has taken away, so it is kept with the upstreams
        that are listed, and nowhere else."""
        advice = {one.upstream: one for one in event.advice}
        for ident, server in self.servers.items():
            server.advice = advice.get(ident) or api.Advice(ident)
        self.tenant_worth = event.tenant_worth
        self.class_admit = event.class_admit
        self.count_planned_ejections()

    def count_planned_ejections(self) -> None:
        """Hazard: a plan that ejects too many, or of whose others the list has lost most, must not leave a
        sidecar without upstreams."""
        ejected = sum(1 for server in self.servers.values() if server.advice.ejected)
        self.planned_ejections_apply = ejected <= MAX_PLANNED_EJECTED_SHARE * len(self.servers)

    def longest_call_gap_us(self) -> int:
        """The longest time (us) from a call for the list, or the last word of a watch, to the next call."""
        settings_us = self.settings.ask_within_us // 2 or TOLD_US
        return min(TOLD_US - LIST_CALL_US, settings_us)

    def next_call_us(self) -> int:
        """When to call again after a failure (us, on the module's clock). Hazard: all sidecars fail
        together, and discovery serves few calls at once; what comes again soon waits behind the others
        and fails again. So full jitter, over a span that grows with the fleet and doubles with each
        failure. It counts from when the failed call began, not from its failure: a call that is given up
        late would else put off the next one past the time at which a change counts as told (rule 3). Once
        spread, the calls keep their turns: drawn anew each time, they would come twice as often in the
        mean, most soon after its return."""
        assert self.unheard_us is not None
        latest_us = max(self.now_us, self.unheard_us + self.longest_call_gap_us())
        if self.call_spread_us >= self.longest_call_gap_us() // 2:
            return latest_us
        first_us = max(FIRST_LIST_RETRY_US, LIST_CALL_INTERVAL_US * self.settings.instances)
        self.call_spread_us = min(first_us * 2 ** min(self.list_failures - 1, 20), latest_us - self.now_us)
        return self.now_us + int(self.call_spread_us * self.random.random())

    def ask_list_at(self, at_us: int) -> None:
        if self.settings.list_on_request:
            self.ask_list_us = at_us
            self.wake(at_us, "list", 0)

    def ask_list(self) -> None:
        """Asks again if no answer comes: a call that is lost must not leave us without a list (rule 3)."""
        if self.ask_list_us != 0 and self.now_us >= self.ask_list_us:
            self.actions.append(api.Subscribe(True))
            self.unheard_us = self.now_us
            self.ask_list_at(self.now_us + self.longest_call_gap_us())

    def wake(self, at_us: int, what: str, ident: int, attempt: int = 0) -> None:
        heapq.heappush(self.wakeups, (max(at_us, self.now_us + 1), what, ident, attempt))

    def arm(self) -> None:
        times = [self.wakeups[0][0]] if self.wakeups else []
        if self.buffer is not None:  # an ejection ends by time, not by an event
            index = self.buffer.event.class_index
            ends = [max(s.ejected_until_us, s.timeout_ejected_until_us[index]) for s in self.servers.values()]
            times.extend([end_us for end_us in ends if end_us > self.now_us])
        if times and (self.armed_us == 0 or min(times) < self.armed_us):
            self.armed_us = min(times)
            self.actions.append(api.SetTimer(self.armed_us, 0))

    def run_due(self) -> None:
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
