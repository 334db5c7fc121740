"""Schedule of the polls of the endpoint list, with backoff after failures."""

from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.settings import Settings


class EndpointPoller:
    """Schedules polls so that a change of the list is known in time, even after failures."""

    def __init__(self, settings: Settings, random: Random) -> None:
        """Start without a scheduled poll; the caller schedules the first one."""
        self.instances = settings.instances
        self.random = random
        max_interval_us = settings.max_poll_interval_us // 2 or tuning.MAX_LIST_STALENESS_US
        max_staleness_gap_us = tuning.MAX_LIST_STALENESS_US - tuning.MAX_POLL_DURATION_US
        # longest time from the start of a poll, or the last message of a watch, to the next poll
        self.max_gap_us = min(max_staleness_gap_us, max_interval_us)
        self.next_poll_at_us = 0  # 0 = no poll is scheduled, as a watch is open
        # Time of the last contact with discovery before the current failures; None = no failure
        self.last_contact_at_us: int | None = None
        self.consecutive_failure_count = 0
        # Span from which the delay of the last backoff was drawn; 0 = no backoff since the last list
        self.backoff_span_us = 0

    def on_list_received(self) -> None:
        """Record that a current list has arrived."""
        self.consecutive_failure_count = self.next_poll_at_us = self.backoff_span_us = 0
        self.last_contact_at_us = None

    def on_failure(self, now_us: int, silent_us: int) -> int:
        """Record that a poll or watch has failed, `silent_us` after the last contact with discovery.

        Returns the time of the next poll (us).
        """
        self.consecutive_failure_count += 1
        if self.last_contact_at_us is None:
            self.last_contact_at_us = now_us - silent_us
        return self._backoff_until_us(now_us, self.last_contact_at_us)

    def on_poll(self, now_us: int) -> int:
        """Record the start of a poll. Returns the time of the next poll (us) if no answer comes."""
        self.last_contact_at_us = now_us
        return now_us + self.max_gap_us

    def _backoff_until_us(self, now_us: int, last_contact_at_us: int) -> int:
        """Return the time of the next poll after a failure. It is drawn at random from a span that begins now
        and doubles with each failure.

        The polls of all sidecars fail together and discovery serves few polls at once, so the span grows with
        the number of sidecars. It ends `max_gap_us` after the last contact, as a failed poll may have been
        abandoned late. Once the span is at least half of `max_gap_us`, no more times are drawn, and each
        sidecar polls once per `max_gap_us`. With new random times, polls would be twice as frequent, and most
        of them would come soon after a recovery.
        """
        latest_poll_at_us = max(now_us, last_contact_at_us + self.max_gap_us)
        if self.backoff_span_us >= self.max_gap_us // 2:
            return latest_poll_at_us
        first_span_us = max(tuning.MIN_POLL_BACKOFF_US, tuning.FLEET_POLL_INTERVAL_US * self.instances)
        unlimited_span_us = first_span_us * 2 ** min(
            self.consecutive_failure_count - 1, tuning.MAX_BACKOFF_DOUBLINGS
        )
        self.backoff_span_us = min(unlimited_span_us, latest_poll_at_us - now_us)
        return now_us + int(self.backoff_span_us * self.random.random())
