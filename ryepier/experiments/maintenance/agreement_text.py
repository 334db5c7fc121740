"""The agreement that the experiments' regions hold, for the converters of their world."""

from __future__ import annotations

from ryepier.emulator.world import World
from ryepier.experiments.maintenance.fleet_process import first_uid

SERVICE = "convert"
REGIONS = {"north": ("n1", "n2"), "south": ("s1", "s2")}  # with their zones
REPLICAS = 3
PORT = 7500


def coordinator_address(network: int, region: str, replica: int, relayed: bool = False) -> str:
    """Where a coordinator listens, or the relay before it."""
    subnet = 249 if relayed else 250
    return f"127.{network}.{subnet}.{10 * (list(REGIONS).index(region) + 1) + replica}:{PORT}"


def replica_names(region: str) -> list[str]:
    """A region's coordinators."""
    return [f"{region}-{number}" for number in range(REPLICAS)]


def region_converters(world: World, region: str) -> list[str]:
    """The converters of a region's zones."""
    return [name for name, zone in converter_zones(world).items() if zone in REGIONS[region]]


def converter_zones(world: World) -> dict[str, str]:
    """Each converter with its zone, in the order of the world."""
    zones = [group.zone for group in world.converters for _ in range(group.count)]
    return {first_uid(place): zone for place, zone in enumerate(zones)}


def agreement_text(
    world: World, network: int, max_unavailable: int, min_allowance: int, relayed_for: str | None = None
) -> str:
    """The agreement as a file: so many converters may be out globally, half of them by each region.

    A region keeps at least `min_allowance`. Where the file is `relayed_for` a region, it reaches the others by relays.
    """
    count = world.converter_count
    half = max_unavailable // len(REGIONS)
    lines = [f'[[services]]\nname = "{SERVICE}"\nleast = {count - max_unavailable}\nleast_part = {min_allowance}']
    lines.append(f"warm_up_s = {world.warmth.warm_up_s}")
    for region in REGIONS:
        least = len(region_converters(world, region)) - max_unavailable + 1
        lines.append(f'[[services.regions]]\nregion = "{region}"\nleast = {least}\nallowance = {half}')
    for region in REGIONS:
        lines.append(f'[[regions]]\nname = "{region}"')
        for number, name in enumerate(replica_names(region)):
            relayed = relayed_for not in (None, region)
            address = coordinator_address(network, region, number, relayed)
            lines.append(f'[[regions.replicas]]\nname = "{name}"\naddress = "{address}"')
    for region in REGIONS:
        zones = converter_zones(world)
        for name in region_converters(world, region):
            lines.append(
                f'[[converters]]\nname = "{name}"\nservice = "{SERVICE}"\nregion = "{region}"\nzone = "{zones[name]}"'
            )
    return "\n".join(lines) + "\n"
