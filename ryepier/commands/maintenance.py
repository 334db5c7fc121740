"""`ryepier maintenance`: serve a region's coordinator; hand in, list and cancel requests for maintenance windows."""

from __future__ import annotations

import asyncio
import getpass
import random
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import msgspec

from ryepier.commands.config import fail_with_problems
from ryepier.conf.operator_settings import LoggingSettings
from ryepier.logs import structured
from ryepier.maintenance import agreement_file
from ryepier.maintenance.address import parse_address
from ryepier.maintenance.agreement import Agreement, format_units
from ryepier.maintenance.agreement_file import AgreementError
from ryepier.maintenance.api import ClientKind, StatusReply
from ryepier.maintenance.client import CallError, RegionClient
from ryepier.maintenance.commands import CancelRequest, Command, Priority, Request, SubmitRequest
from ryepier.maintenance.coordinator import Coordinator
from ryepier.maintenance.node import FatalError
from ryepier.maintenance.placement import FREEZE_MS
from ryepier.maintenance.replication.storage import StorageError
from ryepier.maintenance.results import Rejected
from ryepier.maintenance.settings import CoordinatorSettings, addresses_of

CALL_TIMEOUT_S = 10.0
LOG_LINES_PER_S = 50
MS_PER_S = 1000

T = TypeVar("T")
agreement_option = click.option(
    "--agreement", "path", required=True, type=click.Path(path_type=Path), help="The agreement (TOML)."
)
region_option = click.option("--region", required=True, help="The region that is meant.")


@click.group()
def maintenance() -> None:
    """Maintenance windows across regions that never breach the agreed capacity."""


@maintenance.command()
@agreement_option
@region_option
@click.option("--replica", required=True, help="Which of the region's replicas this is.")
@click.option("--folder", required=True, type=click.Path(path_type=Path), help="Where it keeps its log.")
@click.option("--discovery", help="host:port of discovery, which lists the converters.")
@click.option("--freeze-s", default=FREEZE_MS / MS_PER_S, show_default=True, help="Windows sooner are not moved.")
@click.option("--bootstrap", is_flag=True, help="Only when the region starts for the first time: make an empty log.")
def serve(
    path: Path, region: str, replica: str, folder: Path, discovery: str | None, freeze_s: float, bootstrap: bool
) -> None:
    """Run one coordinator until SIGTERM."""
    structured.set_up(LoggingSettings(format="json", lines_per_s=LOG_LINES_PER_S))
    agreement = _read_agreement(path, region)
    try:
        settings = CoordinatorSettings(
            agreement,
            region,
            replica,
            folder,
            seed=random.getrandbits(63),
            bootstrap=bootstrap,
            discovery=parse_address(discovery) if discovery else None,
            freeze_ms=round(freeze_s * MS_PER_S),
        )
        asyncio.run(_serve(settings))
    except (StorageError, ValueError) as error:
        _end(str(error), 2)
    except (FatalError, OSError) as error:
        _end(str(error), 1)


async def _serve(settings: CoordinatorSettings) -> None:
    """Run the coordinator until a signal."""
    coordinator = Coordinator(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, coordinator.stop.set)
    await coordinator.run()


@maintenance.command()
@agreement_option
@region_option
@click.option("--service", required=True, help="The service whose converters are meant.")
@click.option("--converter", "converters", multiple=True, help="A converter; may be repeated.")
@click.option("--zone", default="", help="All that the service has in this zone, in place of names.")
@click.option("--at-once", default=1, show_default=True, help="How many may be out together, at most.")
@click.option("--duration-s", required=True, type=float, help="From the drain of one converter until it is up again.")
@click.option("--earliest-in-s", default=0.0, show_default=True, help="Not to begin sooner, from now on.")
@click.option("--deadline-in-s", required=True, type=float, help="When all has to be done, from now on.")
@click.option("--priority", default="normal", type=click.Choice([one.name.lower() for one in Priority]))
@click.argument("name")
def request(
    path: Path,
    region: str,
    service: str,
    converters: tuple[str, ...],
    zone: str,
    at_once: int,
    duration_s: float,
    earliest_in_s: float,
    deadline_in_s: float,
    priority: str,
    name: str,
) -> None:
    """Hand in a request for windows under NAME. The same one again is accepted again."""

    async def hand_in(client: RegionClient) -> str:
        now_ms = (await client.status(CALL_TIMEOUT_S)).now_ms
        wanted = {
            "name": name,
            "region": region,
            "service": service,
            "converters": converters,
            "zone": zone,
            "at_once": at_once,
            "duration_ms": round(duration_s * MS_PER_S),
            "earliest_ms": now_ms + round(earliest_in_s * MS_PER_S),
            "deadline_ms": now_ms + round(deadline_in_s * MS_PER_S),
            "priority": Priority[priority.upper()],
        }
        try:
            checked = msgspec.convert(wanted, Request)
        except msgspec.ValidationError as error:
            _end(str(error), 2)
        return await _commit(client, SubmitRequest(checked))

    print(_call(path, region, hand_in))


@maintenance.command()
@agreement_option
@region_option
@click.argument("name")
def cancel(path: Path, region: str, name: str) -> None:
    """Take back request NAME: drains that have not begun are called off, others are finished."""
    print(_call(path, region, lambda client: _commit(client, CancelRequest(name))))


@maintenance.command("list")
@agreement_option
@region_option
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_(path: Path, region: str, as_json: bool) -> None:
    """Show a region's requests, leases and capacities, and why a request waits."""
    status = _call(path, region, lambda client: client.status(CALL_TIMEOUT_S))
    print(msgspec.json.encode(status).decode() if as_json else _describe(status))


async def _commit(client: RegionClient, command: Command) -> str:
    """Commit a command; what came of it, in a line. Ends with 1 where it is refused."""
    result = await client.command(command, CALL_TIMEOUT_S)
    if isinstance(result, Rejected):
        _end(result.reason, 1)
    return type(result).__name__.lower()


def _call(path: Path, region: str, use: Callable[[RegionClient], Coroutine[Any, Any, T]]) -> T:
    """Call the region's coordinators. Ends with 1 where none answers."""
    agreement = _read_agreement(path, region)

    async def call() -> T:
        client = RegionClient(region, addresses_of(agreement, region), getpass.getuser(), ClientKind.OPERATOR)
        try:
            return await use(client)
        finally:
            client.close()

    try:
        return asyncio.run(call())
    except CallError as error:
        _end(str(error), 1)


def _read_agreement(path: Path, region: str) -> Agreement:
    """The agreement in a file; ends with 2 on a mistake or where it has no such region."""
    try:
        agreement = agreement_file.parse(path.read_bytes())
    except OSError as error:
        _end(f"{path}: {error.strerror}", 2)
    except AgreementError as error:
        fail_with_problems(path, error.problems)
    if region not in agreement.regions:
        _end(f"{path}: no region {region!r}; there are {', '.join(agreement.regions)}", 2)
    return agreement


def _describe(status: StatusReply) -> str:
    """A status for people."""
    lines = [f"region {status.region}, led by {status.leader} in term {status.term}, at {status.now_ms / MS_PER_S:g} s"]
    for capacity in status.capacities:
        lines.append(
            f"service {capacity.service}: {format_units(capacity.available)} in force, "
            f"{format_units(capacity.unavailable)} out, {format_units(capacity.lost)} lost, "
            f"allowance {format_units(capacity.allowance)}"
        )
    for one in status.requests:
        start = f"next window at {one.starts_ms / MS_PER_S:g} s" if one.starts_ms >= 0 else "no window"
        lines.append(f"request {one.name}: {len(one.remaining)} to do, {start}{': ' if one.reason else ''}{one.reason}")
    for lease in status.leases:
        lines.append(f"lease {lease.name}: {lease.state}, token {lease.token}, {', '.join(lease.unavailable)} out")
    return "\n".join(lines)


def _end(message: str, code: int) -> NoReturn:
    """End with a message on standard error."""
    print(f"ryepier maintenance: {message}", file=sys.stderr)
    sys.exit(code)
