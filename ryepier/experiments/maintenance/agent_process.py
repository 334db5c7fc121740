"""Runs one agent as a process: `python -m ryepier.experiments.maintenance.agent_process PLAN`.

PLAN is the path of a JSON file with an `AgentPlan`.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec

from ryepier.conf.operator_settings import LogFormat, LoggingSettings
from ryepier.logs import structured
from ryepier.maintenance import agreement_file
from ryepier.maintenance.address import Address
from ryepier.maintenance.agent import Agent, AgentSettings
from ryepier.maintenance.api import ClientKind
from ryepier.maintenance.client import RegionClient
from ryepier.maintenance.fleet import SocketFleet
from ryepier.maintenance.settings import replica_addresses

LOG_LINES_PER_S = 200


class AgentPlan(msgspec.Struct, frozen=True):
    """The settings of an agent process. `agreement` is a path; the addresses are the fleet's control sockets."""

    agreement: str
    region: str
    name: str
    discovery: Address
    converters: Address
    work_s: float
    drain_grace_s: float


def main() -> None:
    """Run the agent until the process is killed."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=AgentPlan)
    structured.configure_logging(LoggingSettings(format=LogFormat.JSON, lines_per_s=LOG_LINES_PER_S))
    agreement = agreement_file.parse(Path(plan.agreement).read_bytes())
    client = RegionClient(plan.region, replica_addresses(agreement, plan.region), plan.name, ClientKind.AGENT)
    settings = AgentSettings(plan.name, plan.drain_grace_s, plan.work_s)
    agent = Agent(settings, client, SocketFleet(plan.discovery, plan.converters))
    asyncio.run(agent.run())


if __name__ == "__main__":
    main()
