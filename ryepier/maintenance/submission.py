"""Whether a new request can be accepted; what can never fit is rejected at once, with the amount that is missing."""

from __future__ import annotations

from ryepier.maintenance.agreement import Agreement, Service, format_capacity
from ryepier.maintenance.commands import Request
from ryepier.maintenance.state import LedgerState

MAX_OPEN_REQUESTS = 5_000

Converters = tuple[str, ...]


def requested_converters(agreement: Agreement, request: Request) -> Converters:
    """Return the converters that a request names, by name or by their zone."""
    if request.converters:
        return request.converters
    here = agreement.converters_of(request.service, request.region)
    return tuple(converter.name for converter in here if converter.zone == request.zone)


def rejection_reason(agreement: Agreement, state: LedgerState, request: Request, converters: Converters) -> str | None:
    """Return the first reason to reject a new request for `converters`, in one line; None: it can be accepted."""
    if request.region != state.region:
        return f"it is for region {request.region!r}; this is {state.region!r}"
    if request.service not in agreement.services:
        return f"unknown service {request.service!r}"
    if bool(request.converters) == bool(request.zone):
        return "names either converters or a zone"
    if not converters:
        return f"service {request.service!r} has no converter in zone {request.zone!r}"
    if len(state.requests) >= MAX_OPEN_REQUESTS:
        return f"{MAX_OPEN_REQUESTS} requests are open, the most there may be"
    service = agreement.services[request.service]
    return (
        _invalid_converter(agreement, state, request, converters)
        or _insufficient_time(state, service, request, converters)
        or _oversized_converter(agreement, request, converters)
    )


def _invalid_converter(
    agreement: Agreement, state: LedgerState, request: Request, converters: Converters
) -> str | None:
    """Describe the first converter that is unknown, named twice, or in another open request."""
    requests = {name: record.request.name for record in state.requests.values() for name in record.remaining()}
    named: set[str] = set()
    for name in converters:
        converter = agreement.converters.get(name)
        if converter is None or (converter.region, converter.service) != (request.region, request.service):
            return f"converter {name!r} is none of service {request.service!r} in region {request.region!r}"
        if name in named:
            return f"converter {name!r} is named twice"
        if name in requests:
            return f"converter {name!r} is in request {requests[name]!r}"
        named.add(name)
    return None


def _insufficient_time(state: LedgerState, service: Service, request: Request, converters: Converters) -> str | None:
    """Describe by how much the time until the deadline is too short, were nothing else out."""
    if request.deadline_ms <= state.now_ms:
        return f"its deadline is gone by {state.now_ms - request.deadline_ms} ms"
    rounds = -(-len(converters) // request.max_unavailable)
    needed_ms = rounds * (request.duration_ms + service.warm_up_ms)
    has_ms = request.deadline_ms - max(request.earliest_ms, state.now_ms)
    if needed_ms <= has_ms:
        return None
    return f"needs {needed_ms} ms for {rounds} rounds and has {has_ms} ms, {needed_ms - has_ms} ms too little"


def _oversized_converter(agreement: Agreement, request: Request, converters: Converters) -> str | None:
    """Describe the first converter that exceeds what may be out even with nothing else out."""
    max_unavailable = min(
        agreement.max_unavailable(request.service), agreement.max_unavailable_in(request.service, request.region)
    )
    for name in converters:
        size = agreement.converters[name].size
        if size > max_unavailable:
            return (
                f"converter {name!r} takes {format_capacity(size)} of {request.service!r} and at most "
                f"{format_capacity(max_unavailable)} may be out, {format_capacity(size - max_unavailable)} too much"
            )
    return None
