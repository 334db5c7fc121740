"""`ryepier slices`: show a service's EndpointSlices as a sidecar interprets them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path

import click

from ryepier.assembly.endpoint_slices import resolve_namespace
from ryepier.balancer.interface import UpstreamsUpdated
from ryepier.commands.config import read_operators_file
from ryepier.commands.exits import ExitCode, fail
from ryepier.commands.signals import make_stop_event
from ryepier.logs import structured
from ryepier.sidecar.system import clock_us
from ryepier.slices.api_client import AccessError, find_access, make_client
from ryepier.slices.endpoint_listing import ListingRules
from ryepier.slices.endpoint_slice_merger import RISKS, EndpointObservation, EndpointSliceMerger, MergedEndpoint
from ryepier.slices.reflector import Apply, Delete, Replace
from ryepier.slices.slice_source import Settings, SliceSource

# descriptions of the rules by which slices that list the same endpoint are merged, by rule number
RULE_DESCRIPTIONS = {
    1: "all slices that list it agree",
    3: "it was observed terminating, and a pod never returns from that",
    4: "the slices differ, and the most cautious one counts",
    6: "all slices vanished at once, so the last list is kept",
}
LIST_TIMEOUT_S = 30.0


def make_settings(path: Path | None, service: str) -> Settings:
    """Return the settings for following a service's slices; exit with 2 if they are incomplete or invalid."""
    operators = read_operators_file(path, os.environ)
    structured.configure_logging(operators.logging)
    slices = operators.slices
    name = service or slices.service
    try:
        if not name:
            raise AccessError("no service given: set --service, or slices.service in the operators' file")
        access = find_access(
            slices.server, slices.token_file, slices.ca_file, slices.client_cert_file, slices.client_key_file
        )
        return Settings(
            access,
            resolve_namespace(slices),
            name,
            ListingRules([], 0, slices.failure_domain_scope, slices.settle_ms * 1000),
            slices.port,
            slices.watch_s,
            slices.hold_s * 1_000_000,
            seed=random.getrandbits(32),
        )
    except AccessError as error:
        fail("slices", error, ExitCode.MISUSE)


def format_event(
    event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]], uids: dict[int, str], as_json: bool
) -> list[str]:
    """Return one line of text or JSON for each upstream in an update of the list."""
    lines = []
    for entry in event.upstreams:
        host, port = addresses[entry.id]
        uid = uids.get(entry.id, "")
        if not as_json:
            lines.append(f"{event.version:6} {event.kind.value:6} {entry.state.value:9} {host}:{port} {uid}")
            continue
        fields = {
            "list": event.kind.value,
            "version": event.version,
            "uid": uid,
            "host": host,
            "port": port,
            "state": entry.state.value,
            "cell": entry.failure_domain,
        }
        lines.append(json.dumps(fields))
    return lines


async def follow(settings: Settings, as_json: bool) -> None:
    """Print every update of the upstream list until SIGTERM or SIGINT."""
    stop_event = make_stop_event()

    def on_update(event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        uids = {upstream_id: uid for uid, upstream_id in source.upstream_ids().items()}
        for line in format_event(event, addresses, uids, as_json):
            print(line, flush=True)

    source = SliceSource(settings, on_update, clock_us)
    source.start()
    await stop_event.wait()


async def read_once(settings: Settings) -> EndpointSliceMerger:
    """Return the merged slices of one complete list. Raises TimeoutError if there is none within `LIST_TIMEOUT_S`."""
    merger = EndpointSliceMerger(settings.port_name)
    list_received = asyncio.Event()

    def on_changes(changes: list[Replace | Apply | Delete]) -> None:
        for change in changes:
            if isinstance(change, Replace):
                merger.replace(change.slices)
                list_received.set()

    client = make_client(
        settings.access,
        settings.namespace,
        settings.service,
        settings.watch_s,
        settings.seed,
        on_changes,
        lambda: None,
        clock_us,
    )
    list_task = asyncio.create_task(client.run())
    try:
        async with asyncio.timeout(LIST_TIMEOUT_S):
            await list_received.wait()
    finally:
        list_task.cancel()
    return merger


def find_endpoints(merger: EndpointSliceMerger, text: str) -> list[MergedEndpoint]:
    """Return the endpoints that match a pod uid, an address, or an address with port."""
    endpoints = []
    for identity, endpoint in merger.endpoints(0).items():
        host, port = endpoint.address
        if text in (identity, host, f"{host}:{port}", f"[{host}]:{port}"):
            endpoints.append(endpoint)
    return endpoints


def describe_observation(observation: EndpointObservation) -> str:
    """Return what one slice reports of an endpoint, in one line."""
    locations = []
    if observation.node:
        locations.append(f"node {observation.node}")
    if observation.zone:
        locations.append(f"zone {observation.zone}")
    if observation.for_zones:
        locations.append(f"hinted for {', '.join(observation.for_zones)}")
    location_text = f" ({'; '.join(locations)})" if locations else ""
    return f"  {observation.slice_name}, generation {observation.generation}: {RISKS[observation.risk]}{location_text}"


def describe_endpoint(endpoint: MergedEndpoint) -> str:
    """Return the merged state of an endpoint, and the merge rule that determined it, in one line."""
    host, port = endpoint.address
    return (
        f"{host}:{port} {endpoint.identity}: {endpoint.state.value}, by rule {endpoint.rule}: "
        f"{RULE_DESCRIPTIONS[endpoint.rule]}"
    )


@click.group()
def slices() -> None:
    """Follow a service's EndpointSlices, and explain the state of a converter."""


config_option = click.option("--config", "path", type=click.Path(path_type=Path), help="The operators' file (TOML).")
service_option = click.option("--service", default="", help="Instead of slices.service of the operators' file.")


@slices.command()
@config_option
@service_option
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def watch(path: Path | None, service: str, as_json: bool) -> None:
    """Print the upstream list that a sidecar would use, and each change of it, until SIGTERM."""
    asyncio.run(follow(make_settings(path, service), as_json))


@slices.command()
@click.argument("address")
@config_option
@service_option
def explain(address: str, path: Path | None, service: str) -> None:
    """Print what each slice reports of ADDRESS (an address, address:port or a pod's uid), and which rule decides."""
    settings = make_settings(path, service)
    try:
        merger = asyncio.run(read_once(settings))
    except TimeoutError:
        fail("slices", f"got no complete list of slices within {LIST_TIMEOUT_S:.0f} s", ExitCode.FAILURE)
    for name, reason in sorted(merger.skipped_slices.items()):
        print(f"slice {name} can't be used: {reason}", file=sys.stderr)
    endpoints = find_endpoints(merger, address)
    if not endpoints:
        reason = f"no slice of {settings.namespace}/{settings.service} lists {address}"
        fail("slices", reason, ExitCode.FAILURE)
    for endpoint in endpoints:
        print(describe_endpoint(endpoint))
        for observation in merger.observations[endpoint.identity].values():
            print(describe_observation(observation))
