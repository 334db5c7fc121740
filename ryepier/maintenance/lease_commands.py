"""Applies the commands on leases: grant, take over, start a drain, release, revoke."""

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


class LeaseCommandHandler:
    """Applies the commands that grant and change leases. State transitions follow `LEASE_TABLE`."""

    def __init__(self, context: LedgerContext) -> None:
        """Create a handler whose methods read and change the ledger state in `context`."""
        self.context = context
        self.state = context.state

    def grant(self, command: GrantLease) -> Result:
        """Grant a lease if the request is open and every limit holds with the lease's converters out of service."""
        existing_lease = self.state.leases.get(command.lease)
        if existing_lease is not None:
            return self._repeat_grant(existing_lease, command)
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
            granted_at_ms=self.state.now_ms,
        )
        self.state.leases[lease.name] = lease
        return _granted_result(lease)

    def _repeat_grant(self, lease: Lease, command: GrantLease) -> Result:
        """Return the existing lease if the command repeats its grant and the lease is granted or draining.

        Rejects the command otherwise.
        """
        same_holder = (lease.request, lease.agent) == (command.request, command.agent)
        if not same_holder or lease.converters != command.converters:
            return Rejected(f"lease {lease.name!r} already exists with different content")
        if lease.state not in (LeaseState.GRANTED, LeaseState.DRAINING):
            return Rejected(f"lease {lease.name!r} is {lease.state}")
        return _granted_result(lease)

    def _grant_rejection(self, command: GrantLease) -> str | None:
        """Return why a new lease cannot be granted, in one line, or None if it can."""
        record = self.state.requests.get(command.request)
        if record is None or record.cancelled:
            return f"request {command.request!r} is not open"
        if command.lease in record.leases:
            return "it has been closed"
        if not command.converters or len(set(command.converters)) < len(command.converters):
            return "no converter is named, or one is named twice"
        leased_names = self.context.view.leased_converters()
        for name in command.converters:
            if name not in record.remaining_converters():
                return f"converter {name!r} is not pending in request {command.request!r}"
            if name in leased_names:
                return f"converter {name!r} is already out of service"
        request = record.request
        outage_count = sum(len(lease.unavailable) for lease in self.context.leases_of(request.name))
        outage_count += len(command.converters)
        if outage_count > request.max_unavailable:
            return (
                f"{outage_count} converters of request {request.name!r} would be out of service; "
                f"at most {request.max_unavailable} may be"
            )
        return self.context.view.describe_first_exceeded_limit(request.service, leased_names | set(command.converters))

    def change_lease(self, command: LeaseCommand) -> Result:
        """Apply a command to an open lease. Agents' commands with an outdated fencing token are rejected."""
        lease = self.state.leases.get(command.lease)
        if lease is None:
            return Rejected(f"lease {command.lease!r} is not open")
        if _is_repeated_take_over(command, lease):
            return _granted_result(lease)
        if not isinstance(command, RevokeLease) and command.token != lease.token:
            return Rejected(f"lease {lease.name!r}: token {command.token} is not the current one, {lease.token}")
        event = LEASE_EVENTS[type(command)]
        next_state = LEASE_TABLE.next_state(lease.state, event)
        if next_state is None:
            return Rejected(f"lease {lease.name!r} is {lease.state}; event not allowed: {event}")
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
                self.context.begin_recovery(lease, next_state)
                return Released(lease.name, tuple(lease.unavailable))

    def _take_over(self, lease: Lease, agent: str) -> Result:
        """Give a lease to another agent under a new fencing token."""
        lease.previous_token = lease.token
        lease.token = self.context.next_token()
        lease.agent = agent
        return _granted_result(lease)


def _is_repeated_take_over(command: LeaseCommand, lease: Lease) -> bool:
    """Return whether a command repeats the take-over that gave the lease to its current agent."""
    return isinstance(command, TakeOverLease) and command.agent == lease.agent and command.token == lease.previous_token


def _granted_result(lease: Lease) -> Granted:
    """Return the result that tells an agent its lease, fencing token and converters."""
    return Granted(lease.name, lease.agent, lease.token, lease.converters)
