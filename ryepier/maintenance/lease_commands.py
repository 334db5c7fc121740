"""Commands on leases: grant, take over, start a drain, release, revoke."""

from __future__ import annotations

from ryepier.maintenance.commands import GrantLease, ReleaseLease, RevokeLease, StartDrain, TakeOverLease
from ryepier.maintenance.ledger_context import LedgerContext
from ryepier.maintenance.results import DrainStarted, Granted, LeaseRevoked, Rejected, Released, Result
from ryepier.maintenance.state import Lease
from ryepier.maintenance.tables import LEASE_TABLE, LeaseEvent, LeaseState

LeaseCommand = TakeOverLease | StartDrain | ReleaseLease | RevokeLease

LEASE_EVENTS: dict[type[LeaseCommand], LeaseEvent] = {
    TakeOverLease: LeaseEvent.TAKE_OVER,
    StartDrain: LeaseEvent.START_DRAIN,
    ReleaseLease: LeaseEvent.RELEASE,
    RevokeLease: LeaseEvent.REVOKE,
}


class LeaseCommands:
    """Applies the commands that grant leases and change them, along the table `LEASES`."""

    def __init__(self, context: LedgerContext) -> None:
        """Apply commands to the state in `context`."""
        self.context = context
        self.state = context.state

    def grant(self, command: GrantLease) -> Result:
        """Grant a lease where the request is open and every limit holds with its converters out of service."""
        existing = self.state.leases.get(command.lease)
        if existing is not None:
            return self._repeat_grant(existing, command)
        reason = self._grant_rejection(command)
        if reason:
            return Rejected(f"lease {command.lease!r}: {reason}")
        self.state.requests[command.request].leases.append(command.lease)
        lease = Lease(
            name=command.lease,
            request=command.request,
            agent=command.agent,
            token=self.context.next_token(),
            converters=command.converters,
            unavailable=list(command.converters),
            granted_ms=self.state.now_ms,
        )
        self.state.leases[lease.name] = lease
        return _granted(lease)

    def _repeat_grant(self, lease: Lease, command: GrantLease) -> Result:
        """Repeat the grant of an open lease to the agent that has it."""
        same_holder = (lease.request, lease.agent) == (command.request, command.agent)
        if not same_holder or lease.converters != command.converters:
            return Rejected(f"lease {lease.name!r} is there with other content")
        if lease.state not in (LeaseState.GRANTED, LeaseState.DRAINING):
            return Rejected(f"lease {lease.name!r} is {lease.state}")
        return _granted(lease)

    def _grant_rejection(self, command: GrantLease) -> str | None:
        """Return why a new lease cannot be granted, in one line; None where it can."""
        record = self.state.requests.get(command.request)
        if record is None or record.cancelled:
            return f"request {command.request!r} is not open"
        if command.lease in record.leases:
            return "it is closed"
        if not command.converters or len(set(command.converters)) < len(command.converters):
            return "names no converter, or one twice"
        leased_names = self.context.view.leased_converters()
        for name in command.converters:
            if name not in record.remaining():
                return f"converter {name!r} is not to be done for request {command.request!r}"
            if name in leased_names:
                return f"converter {name!r} is out already"
        request = record.request
        outages = sum(len(lease.unavailable) for lease in self.context.leases_of(request.name))
        outages += len(command.converters)
        if outages > request.max_unavailable:
            return f"{outages} converters of request {request.name!r} would be out and {request.max_unavailable} may be"
        return self.context.view.first_exceeded_limit(request.service, leased_names | set(command.converters))

    def change_lease(self, command: LeaseCommand) -> Result:
        """Apply a command to an open lease. A command under an earlier fencing token is rejected."""
        lease = self.state.leases.get(command.lease)
        if lease is None:
            return Rejected(f"lease {command.lease!r} is not open")
        if _is_repeated_take_over(command, lease):
            return _granted(lease)
        if not isinstance(command, RevokeLease) and command.token != lease.token:
            return Rejected(f"lease {lease.name!r}: token {command.token} is not the current one, {lease.token}")
        event = LEASE_EVENTS[type(command)]
        next_state = LEASE_TABLE.next_state(lease.state, event)
        if next_state is None:
            return Rejected(f"lease {lease.name!r} is {lease.state}: no {event}")
        match command:
            case TakeOverLease():
                return self._take_over(lease, command.agent)
            case RevokeLease():
                self.context.revoke(lease)
                return LeaseRevoked(lease.name)
            case StartDrain():
                lease.state = next_state
                return DrainStarted(lease.name)
            case ReleaseLease():
                self.context.end_agent_hold(lease, next_state)
                return Released(lease.name, tuple(lease.unavailable))

    def _take_over(self, lease: Lease, agent: str) -> Result:
        """Give a lease to another agent under a new fencing token."""
        lease.previous_token = lease.token
        lease.token = self.context.next_token()
        lease.agent = agent
        return _granted(lease)


def _is_repeated_take_over(command: LeaseCommand, lease: Lease) -> bool:
    """Return whether a command is the take-over by which the lease came to its present agent."""
    return isinstance(command, TakeOverLease) and command.agent == lease.agent and command.token == lease.previous_token


def _granted(lease: Lease) -> Granted:
    """Return the result by which an agent receives its lease."""
    return Granted(lease.name, lease.agent, lease.token, lease.converters)
