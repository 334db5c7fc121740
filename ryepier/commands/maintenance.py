"""`ryepier maintenance`: serve a region's coordinator; submit, list and cancel requests for maintenance windows."""

from __future__ import annotations

import asyncio
import getpass
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec

from ryepier.commands.config import fail_with_problems
from ryepier.commands.exits import ExitCode, fail
from ryepier.commands.signals import make_stop_event
from ryepier.conf.operator_settings import LogFormat, LoggingSettings
from ryepier.logs import structured
from ryepier.maintenance import agreement_file
from ryepier.maintenance.address import parse_address
from ryepier.maintenance.agreement import Agreement, format_capacity
from ryepier.maintenance.agreement_file import AgreementError
from ryepier.maintenance.api import CapacityStatus, ClientKind, LeaseStatus, RequestStatus, StatusReply
from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import CancelRequest, Command, Priority, Request, SubmitRequest
from ryepier.maintenance.coordinator import Coordinator
from ryepier.maintenance.node import FatalError
from ryepier.maintenance.placement import FREEZE_MS
from ryepier.maintenance.replication.storage import StorageError
from ryepier.maintenance.results import Rejected
from ryepier.maintenance.settings import CoordinatorSettings, replica_addresses

COMMAND = "maintenance"
CALL_TIMEOUT_S = 10.0
LOG_LINES_PER_S = 50
MS_PER_S = 1000
SEED_BITS = 63
PRIORITIES = [priority.name.lower() for priority in Priority]

T = TypeVar("T")
agreement_option = click.option(
    "--agreement", "path", required=True, type=click.Path(path_type=Path), help="The agreement (TOML)."
)
region_option = click.option("--region", required=True, help="The region to serve or to call.")


@click.group()
def maintenance() -> None:
    """Schedule maintenance windows across regions without breaching the agreed capacity."""


@maintenance.command()
@agreement_option
@region_option
@click.option("--replica", required=True, help="Which of the region's replicas this is.")
@click.option("--folder", required=True, type=click.Path(path_type=Path), help="Where it stores its log.")
@click.option("--discovery", help="host:port of discovery, which lists the converters.")
@click.option("--freeze-s", default=FREEZE_MS / MS_PER_S, show_default=True, help="Windows sooner are not moved.")
@click.option("--bootstrap", is_flag=True, help="Only when the region starts for the first time: create an empty log.")
def serve(
    path: Path, region: str, replica: str, folder: Path, discovery: str | None, freeze_s: float, bootstrap: bool
) -> None:
    """Run one coordinator until SIGTERM."""
    structured.configure_logging(LoggingSettings(format=LogFormat.JSON, lines_per_s=LOG_LINES_PER_S))
    agreement = _read_agreement(path, region)
    try:
        settings = CoordinatorSettings(
            agreement,
            region,
            replica,
            folder,
            seed=random.getrandbits(SEED_BITS),
            bootstrap=bootstrap,
            discovery=parse_address(discovery) if discovery else None,
            freeze_ms=round(freeze_s * MS_PER_S),
        )
        asyncio.run(_serve(settings))
    except (StorageError, ValueError) as error:
        fail(COMMAND, error, ExitCode.MISUSE)
    except (FatalError, OSError) as error:
        fail(COMMAND, error, ExitCode.FAILURE)


async def _serve(settings: CoordinatorSettings) -> None:
    """Run the coordinator until SIGTERM or SIGINT."""
    coordinator = Coordinator(settings)
    coordinator.stop_event = make_stop_event()
    await coordinator.run()


@maintenance.command()
@agreement_option
@region_option
@click.option("--service", required=True, help="The service that the converters belong to.")
@click.option("--converter", "converters", multiple=True, help="A converter; may be repeated.")
@click.option("--zone", default="", help="All converters of the service in this zone, in place of names.")
@click.option("--at-once", default=1, show_default=True, help="How many may be out together, at most.")
@click.option("--duration-s", required=True, type=float, help="From the drain of one converter until it is up again.")
@click.option("--earliest-in-s", default=0.0, show_default=True, help="The earliest start, from now on.")
@click.option("--deadline-in-s", required=True, type=float, help="When all has to be done, from now on.")
@click.option("--priority", default="normal", type=click.Choice(PRIORITIES))
@click.argument("name")
def request(
    path: Path, region: str, duration_s: float, earliest_in_s: float, deadline_in_s: float, priority: str, **fields: Any
) -> None:
    """Submit a request for maintenance windows under NAME. Submitting the same request again is accepted, too."""

    async def submit(client: RegionClient) -> str:
        now_ms = (await client.status(CALL_TIMEOUT_S)).now_ms
        request_fields = {  # `fields` contains the other options, whose names are those of the fields of a request
            **fields,
            "region": region,
            "duration_ms": round(duration_s * MS_PER_S),
            "earliest_ms": now_ms + round(earliest_in_s * MS_PER_S),
            "deadline_ms": now_ms + round(deadline_in_s * MS_PER_S),
            "priority": Priority[priority.upper()],
        }
        try:
            validated_request = msgspec.convert(request_fields, Request)
        except msgspec.ValidationError as error:
            fail(COMMAND, error, ExitCode.MISUSE)
        return await _commit(client, SubmitRequest(validated_request), "accepted")

    print(_call(path, region, submit))


@maintenance.command()
@agreement_option
@region_option
@click.argument("name")
def cancel(path: Path, region: str, name: str) -> None:
    """Cancel request NAME: drains that have not started are revoked, others are finished."""
    print(_call(path, region, lambda client: _commit(client, CancelRequest(name), "cancelled")))


@maintenance.command("list")
@agreement_option
@region_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
def list_(path: Path, region: str, as_json: bool) -> None:
    """Show a region's requests, leases and capacities, and why a request waits."""
    status = _call(path, region, lambda client: client.status(CALL_TIMEOUT_S))
    print(msgspec.json.encode(status).decode() if as_json else _describe(status))


async def _commit(client: RegionClient, command: Command, outcome: str) -> str:
    """Commit a command to the region's log and return `outcome`; exit with 1 if the command is rejected."""
    result = await client.command(command, CALL_TIMEOUT_S)
    if isinstance(result, Rejected):
        fail(COMMAND, result.reason, ExitCode.FAILURE)
    return outcome


def _call(path: Path, region: str, make_call: Callable[[RegionClient], Coroutine[Any, Any, T]]) -> T:
    """Return the result of `make_call` on a client of the region's coordinators; exit with 1 if none answers."""
    agreement = _read_agreement(path, region)

    async def call_region() -> T:
        client = RegionClient(region, replica_addresses(agreement, region), getpass.getuser(), ClientKind.OPERATOR)
        try:
            return await make_call(client)
        finally:
            client.close()

    try:
        return asyncio.run(call_region())
    except CallError as error:
        fail(COMMAND, error, ExitCode.FAILURE)


def _read_agreement(path: Path, region: str) -> Agreement:
    """Return the agreement in a file; exit with 2 on an error in it, or if it does not contain the region."""
    try:
        agreement = agreement_file.parse(path.read_bytes())
    except OSError as error:
        fail(COMMAND, f"{path}: {error.strerror}", ExitCode.MISUSE)
    except AgreementError as error:
        fail_with_problems(path, error.problems)
    if region not in agreement.regions:
        fail(COMMAND, f"{path}: no region {region!r}; known: {', '.join(agreement.regions)}", ExitCode.MISUSE)
    return agreement


def _describe(status: StatusReply) -> str:
    """Return a status as human-readable text."""
    lines = [f"region {status.region}, led by {status.leader} in term {status.term}, at {status.now_ms / MS_PER_S:g} s"]
    lines += [_describe_capacity(capacity) for capacity in status.capacities]
    lines += [_describe_request(open_request) for open_request in status.requests]
    lines += [_describe_lease(lease) for lease in status.leases]
    return "\n".join(lines)


def _describe_capacity(capacity: CapacityStatus) -> str:
    """Return a line that describes a service's capacity."""
    return (
        f"service {capacity.service}: {format_capacity(capacity.available)} available, "
        f"{format_capacity(capacity.unavailable)} out, {format_capacity(capacity.lost)} lost, "
        f"allowance {format_capacity(capacity.allowance)}"
    )


def _describe_request(open_request: RequestStatus) -> str:
    """Return a line that describes a request, with the reason why it waits, if any."""
    start_text = "no window"
    if open_request.starts_ms >= 0:
        start_text = f"next window at {open_request.starts_ms / MS_PER_S:g} s"
    reason_text = f": {open_request.reason}" if open_request.reason else ""
    return f"request {open_request.name}: {len(open_request.remaining)} to do, {start_text}{reason_text}"


def _describe_lease(lease: LeaseStatus) -> str:
    """Return a line that describes an open lease."""
    return f"lease {lease.name}: {lease.state}, token {lease.token}, {', '.join(lease.unavailable)} out"
