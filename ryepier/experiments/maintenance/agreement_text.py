"""Generates the text of the agreement file for the regions and converters of a maintenance experiment."""

from __future__ import annotations

from ryepier.emulator.world import World
from ryepier.experiments.maintenance.fleet_process import first_uid

SERVICE = "convert"
NORTH, SOUTH = "north", "south"
REGIONS = {NORTH: ("n1", "n2"), SOUTH: ("s1", "s2")}  # the zones of each region
REPLICAS_PER_REGION = 3
COORDINATOR_PORT = 7500
COORDINATOR_SUBNET, RELAY_SUBNET = 250, 249


def coordinator_address(network: int, region: str, replica: int, relayed: bool = False) -> str:
    """Return the address of a coordinator, or of the relay in front of it if `relayed`, as `host:port`."""
    subnet = RELAY_SUBNET if relayed else COORDINATOR_SUBNET
    return f"127.{network}.{subnet}.{10 * (list(REGIONS).index(region) + 1) + replica}:{COORDINATOR_PORT}"


def replica_names(region: str) -> list[str]:
    """Return the names of a region's coordinator replicas."""
    return [f"{region}-{number}" for number in range(REPLICAS_PER_REGION)]


def region_converters(world: World, region: str) -> list[str]:
    """Return the names of the converters in a region's zones."""
    return [name for name, zone in converter_zones(world).items() if zone in REGIONS[region]]


def converter_zones(world: World) -> dict[str, str]:
    """Return the zone of each converter by name, in the order in which the world lists the converters."""
    zones = [group.zone for group in world.converters for _ in range(group.count)]
    return {first_uid(index): zone for index, zone in enumerate(zones)}


def agreement_text(
    world: World, network: int, max_unavailable: int, min_allowance: int, relayed_for: str | None = None
) -> str:
    """Return the text of the agreement file, under which `max_unavailable` converters may be out of service globally.

    Each of the two regions has an allowance of half of them, and keeps `min_allowance` when it gives allowance to the
    other. With `relayed_for`, the file is for coordinators of that region, and has the addresses of the relays in place
    of those of the other region's coordinators.
    """
    tables = [_service_table(world, max_unavailable, min_allowance)]
    tables += [_service_region_table(world, region, max_unavailable) for region in REGIONS]
    for region in REGIONS:
        tables.append(f'[[regions]]\nname = "{region}"')
        relayed = relayed_for not in (None, region)
        tables += [_replica_table(network, region, number, relayed) for number in range(REPLICAS_PER_REGION)]
    zones = converter_zones(world)
    for region in REGIONS:
        tables += [_converter_table(name, region, zones[name]) for name in region_converters(world, region)]
    return "\n".join(tables) + "\n"


def _service_table(world: World, max_unavailable: int, min_allowance: int) -> str:
    """Return the `[[services]]` table."""
    min_available = world.converter_count - max_unavailable
    return (
        f'[[services]]\nname = "{SERVICE}"\nleast = {min_available}\nleast_part = {min_allowance}\n'
        f"warm_up_s = {world.warm_up.warm_up_s}"
    )


def _service_region_table(world: World, region: str, max_unavailable: int) -> str:
    """Return a `[[services.regions]]` table; its minimum lets the region have `max_unavailable - 1` converters out."""
    min_available = len(region_converters(world, region)) - max_unavailable + 1
    allowance = max_unavailable // len(REGIONS)
    return f'[[services.regions]]\nregion = "{region}"\nleast = {min_available}\nallowance = {allowance}'


def _replica_table(network: int, region: str, number: int, relayed: bool) -> str:
    """Return the `[[regions.replicas]]` table of a coordinator."""
    address = coordinator_address(network, region, number, relayed)
    return f'[[regions.replicas]]\nname = "{replica_names(region)[number]}"\naddress = "{address}"'


def _converter_table(name: str, region: str, zone: str) -> str:
    """Return the `[[converters]]` table of a converter."""
    return f'[[converters]]\nname = "{name}"\nservice = "{SERVICE}"\nregion = "{region}"\nzone = "{zone}"'
