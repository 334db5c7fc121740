"""Validates new maintenance requests.

A request that can never be placed is rejected on submission. The reason states by how much the time until the deadline
is too short, or by how much a converter exceeds the capacity that may be unavailable.
"""

from __future__ import annotations

from ryepier.maintenance.agreement import Agreement, Service, format_capacity
from ryepier.maintenance.commands import Request
from ryepier.maintenance.state import LedgerState

MAX_OPEN_REQUESTS = 5_000  # per region

ConverterNames = tuple[str, ...]


def requested_converters(agreement: Agreement, request: Request) -> ConverterNames:
    """Return the names of the converters that a request lists, or of all converters of its service in its zone."""
    if request.converters:
        return request.converters
    candidates = agreement.converters_of(request.service, request.region)
    return tuple(converter.name for converter in candidates if converter.zone == request.zone)


def rejection_reason(
    agreement: Agreement, state: LedgerState, request: Request, converters: ConverterNames
) -> str | None:
    """Return the first reason to reject a new request for `converters`, in one line, or None if it is acceptable."""
    if request.region != state.region:
        return f"it is for region {request.region!r}; this is {state.region!r}"
    if request.service not in agreement.services:
        return f"unknown service {request.service!r}"
    if bool(request.converters) == bool(request.zone):
        return "must name either converters or a zone"
    if not converters:
        return f"service {request.service!r} has no converter in zone {request.zone!r}"
    if len(state.requests) >= MAX_OPEN_REQUESTS:
        return f"{MAX_OPEN_REQUESTS} requests are open, which is the maximum"
    service = agreement.services[request.service]
    return (
        _converter_rejection(agreement, state, request, converters)
        or _time_rejection(state, service, request, converters)
        or _size_rejection(agreement, request, converters)
    )


def _converter_rejection(
    agreement: Agreement, state: LedgerState, request: Request, converters: ConverterNames
) -> str | None:
    """Return why the first invalid converter is rejected, or None if all are valid.

    A converter is invalid if it does not belong to the request's service and region, is named twice, or is in another
    open request.
    """
    request_by_converter = {
        name: record.request.name for record in state.requests.values() for name in record.remaining_converters()
    }
    seen_names: set[str] = set()
    for name in converters:
        converter = agreement.converters.get(name)
        if converter is None or (converter.region, converter.service) != (request.region, request.service):
            return f"converter {name!r} does not belong to service {request.service!r} in region {request.region!r}"
        if name in seen_names:
            return f"converter {name!r} is named twice"
        if name in request_by_converter:
            return f"converter {name!r} is already in request {request_by_converter[name]!r}"
        seen_names.add(name)
    return None


def _time_rejection(state: LedgerState, service: Service, request: Request, converters: ConverterNames) -> str | None:
    """Return why the time until the deadline is too short even without other outages, or None if it suffices."""
    if request.deadline_ms <= state.now_ms:
        return f"its deadline passed {state.now_ms - request.deadline_ms} ms ago"
    round_count = -(-len(converters) // request.max_unavailable)
    needed_ms = round_count * (request.duration_ms + service.warm_up_ms)
    available_ms = request.deadline_ms - max(request.earliest_ms, state.now_ms)
    if needed_ms <= available_ms:
        return None
    return (
        f"needs {needed_ms} ms for {round_count} rounds and has {available_ms} ms, "
        f"{needed_ms - available_ms} ms too little"
    )


def _size_rejection(agreement: Agreement, request: Request, converters: ConverterNames) -> str | None:
    """Return why a converter is too large to be out of service even on its own, or None if no converter is."""
    max_unavailable = min(
        agreement.max_unavailable(request.service), agreement.max_unavailable_in(request.service, request.region)
    )
    for name in converters:
        size = agreement.converters[name].size
        if size > max_unavailable:
            return (
                f"converter {name!r} takes {format_capacity(size)} of {request.service!r} and at most "
                f"{format_capacity(max_unavailable)} may be unavailable, "
                f"{format_capacity(size - max_unavailable)} too much"
            )
    return None
