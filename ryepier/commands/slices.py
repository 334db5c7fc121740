"""`ryepier slices`: a service's EndpointSlices as a sidecar would read them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click

from ryepier.assembly.endpoint_slices import resolve_namespace
from ryepier.balancer.interface import UpstreamsUpdated
from ryepier.commands.config import read_operators_file
from ryepier.logs import structured
from ryepier.sidecar.system import clock_us
from ryepier.slices.api_client import AccessError, find_access, make_client
from ryepier.slices.endpoint_listing import ListingRules
from ryepier.slices.endpoint_slice_merger import RISKS, EndpointObservation, EndpointSliceMerger, MergedEndpoint
from ryepier.slices.reflector import Apply, Delete, Replace
from ryepier.slices.slice_source import Settings, SliceSource

RULE_TEXTS = {
    1: "all slices that hold it say the same",
    3: "it was seen terminating, and a pod never comes back from that",
    4: "the slices differ, and the safest word counts",
    6: "all slices vanished at once, so the last list is held",
}
WITHIN_S = 30.0


def reading_settings(path: Path | None, service: str) -> Settings:
    """What a command that only reads is told; ends with 2 where the settings are not enough."""
    operators = read_operators_file(path, os.environ)
    structured.set_up(operators.logging)
    slices = operators.slices
    name = service or slices.service
    try:
        if not name:
            raise AccessError("no service is named, by --service or by slices.service in the operators' file")
        access = find_access(
            slices.server, slices.token_file, slices.ca_file, slices.client_cert_file, slices.client_key_file
        )
        return Settings(
            access,
            resolve_namespace(slices),
            name,
            ListingRules([], 0, slices.failure_domain, slices.settle_ms * 1000),
            slices.port,
            slices.watch_s,
            slices.hold_s * 1_000_000,
            seed=random.getrandbits(32),
        )
    except AccessError as error:
        print(f"ryepier slices: {error}", file=sys.stderr)
        sys.exit(2)


async def until_stopped(start: Callable[[], object]) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    kept = start()
    await stop.wait()
    del kept


def print_event(
    event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]], idents: dict[int, str], as_json: bool
) -> None:
    """One line for each entry."""
    for entry in event.upstreams:
        host, port = addresses[entry.id]
        uid = idents.get(entry.id, "")
        if as_json:
            print(
                json.dumps(
                    {
                        "list": event.kind.value,
                        "version": event.version,
                        "uid": uid,
                        "host": host,
                        "port": port,
                        "state": entry.state.value,
                        "cell": entry.failure_domain,
                    }
                ),
                flush=True,
            )
        else:
            print(f"{event.version:6} {event.kind.value:6} {entry.state.value:9} {host}:{port} {uid}", flush=True)


async def read_once(settings: Settings) -> EndpointSliceMerger:
    """The slices as one list has them. Raises TimeoutError."""
    merger = EndpointSliceMerger(settings.port)
    listed = asyncio.Event()

    def take(news: list[Replace | Apply | Delete]) -> None:
        for one in news:
            if isinstance(one, Replace):
                merger.replace(one.slices)
                listed.set()

    client = make_client(
        settings.access,
        settings.namespace,
        settings.service,
        settings.watch_s,
        settings.seed,
        take,
        lambda: None,
        clock_us,
    )
    following = asyncio.create_task(client.run())
    try:
        async with asyncio.timeout(WITHIN_S):
            await listed.wait()
    finally:
        following.cancel()
    return merger


def wanted(merger: EndpointSliceMerger, text: str) -> list[MergedEndpoint]:
    """The converters that a person may mean: by pod uid, by address, or by address and port."""
    return [
        verdict
        for identity, verdict in merger.endpoints(0).items()
        if text
        in (
            identity,
            verdict.address[0],
            f"{verdict.address[0]}:{verdict.address[1]}",
            f"[{verdict.address[0]}]:{verdict.address[1]}",
        )
    ]


def describe_word(word: EndpointObservation) -> str:
    places = [
        text
        for text in (
            word.node and f"node {word.node}",
            word.zone and f"zone {word.zone}",
            ",".join(word.for_zones) and f"hinted for {', '.join(word.for_zones)}",
        )
        if text
    ]
    return f"  {word.slice_name}, generation {word.generation}: {RISKS[word.risk]}" + (
        f" ({'; '.join(places)})" if places else ""
    )


@click.group()
def slices() -> None:
    """Follow a service's EndpointSlices, and tell why a converter is listed as it is."""


config_option = click.option("--config", "path", type=click.Path(path_type=Path), help="The operators' file (TOML).")
service_option = click.option("--service", default="", help="In place of slices.service of the operators' file.")


@slices.command()
@config_option
@service_option
@click.option("--json", "as_json", is_flag=True, help="One object a line.")
def watch(path: Path | None, service: str, as_json: bool) -> None:
    """Print what a sidecar's module would be told, from now until SIGTERM."""
    settings = reading_settings(path, service)

    def start() -> SliceSource:
        source: SliceSource

        def listener(event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
            print_event(event, addresses, {ident: uid for uid, ident in source.upstream_ids().items()}, as_json)

        source = SliceSource(settings, listener, clock_us)
        source.start()
        return source

    asyncio.run(until_stopped(start))


@slices.command()
@click.argument("address")
@config_option
@service_option
def explain(address: str, path: Path | None, service: str) -> None:
    """Which slices say what of ADDRESS (an address, address:port or a pod's uid), and which rule decides."""
    settings = reading_settings(path, service)
    try:
        merger = asyncio.run(read_once(settings))
    except TimeoutError:
        print(f"ryepier slices: no list within {WITHIN_S:.0f} s", file=sys.stderr)
        sys.exit(1)
    for name, why in sorted(merger.skipped.items()):
        print(f"slice {name} can't be used: {why}", file=sys.stderr)
    found = wanted(merger, address)
    for verdict in found:
        host, port = verdict.address
        print(
            f"{host}:{port} {verdict.identity}: {verdict.state.value}, by rule {verdict.rule}: "
            f"{RULE_TEXTS[verdict.rule]}"
        )
        for word in merger.observations[verdict.identity].values():
            print(describe_word(word))
    if not found:
        print(f"ryepier slices: no slice of {settings.namespace}/{settings.service} holds {address}", file=sys.stderr)
        sys.exit(1)
