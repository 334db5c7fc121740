"""`ryepier plan`: what a planner says now, what changed between two plans, and why a converter is as it is."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

import click
import msgspec

from ryepier.plan.messages import VERSION, ConverterAdvice, FrameDecoder, Hello, Plan, ProtocolError, encode
from ryepier.sidecar.config import parse_address

WITHIN_S = 3.0
READER = "a reader"  # reports nothing, and so counts for nothing as a forwarder


async def fetch(address: tuple[str, int]) -> Plan:
    """The plan in force at a planner. Raises OSError, TimeoutError and ProtocolError."""
    async with asyncio.timeout(WITHIN_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode(Hello(VERSION, READER, time.time_ns() // 1000)))
            frames = FrameDecoder()
            while data := await reader.read(65_536):
                for message in frames.feed(data):
                    if isinstance(message, Plan):
                        return message
        finally:
            writer.close()
    raise ProtocolError("the planner closed the connection")


def fetched(text: str) -> Plan:
    """The plan of the planner at host:port; ends with 1 where there is none."""
    try:
        address = parse_address(text)
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    try:
        return asyncio.run(fetch(address))
    except TimeoutError:
        print(f"ryepier plan: {text} hands out no plan: it follows, or its evidence is not enough", file=sys.stderr)
    except (OSError, ProtocolError) as error:
        print(f"ryepier plan: {text}: {error}", file=sys.stderr)
    sys.exit(1)


def read(path: Path) -> Plan:
    """A plan that `show --json` wrote; ends with 2 on what is none."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Plan)
    except (OSError, msgspec.MsgspecError) as error:
        print(f"ryepier plan: {path}: {error}", file=sys.stderr)
        sys.exit(2)


def describe(entry: ConverterAdvice) -> str:
    if entry.ejected:
        return f"rests, {entry.trial_share:.1%} of the forwarders may try it: {entry.reason}"
    concurrency_limit = f", at most {entry.concurrency_limit} out a forwarder" if entry.concurrency_limit else ""
    return f"weight {entry.weight:.2f}{concurrency_limit}: {entry.reason}"


def heading(plan: Plan) -> str:
    basis = plan.evidence
    return (
        f"plan {plan.number} of {plan.term.planner}, epoch {plan.term.epoch}; {basis.forwarders} forwarders, "
        f"{basis.attempts} attempts in {basis.window_ms} ms, {basis.covered} of {basis.listed} converters seen"
    )


@click.group()
def plan() -> None:
    """Show what planners say, and why."""


@plan.command()
@click.argument("planner", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="For programs, and for `diff`.")
def show(planner: str, as_json: bool) -> None:
    """The plan in force at a planner."""
    found = fetched(planner)
    if as_json:
        print(json.dumps(msgspec.to_builtins(found)))
        return
    print(heading(found))
    for uid, entry in sorted(found.entries.items()):
        print(f"{uid:24} {describe(entry)}")


@plan.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
def diff(old: Path, new: Path) -> None:
    """What changed between two plans that `show --json` wrote."""
    before, after = read(old), read(new)
    print(f"- {heading(before)}\n+ {heading(after)}")
    for uid in sorted(before.entries.keys() | after.entries.keys()):
        one, other = before.entries.get(uid, ConverterAdvice()), after.entries.get(uid, ConverterAdvice())
        if one != other:
            print(f"{uid}\n  - {describe(one)}\n  + {describe(other)}")


@plan.command()
@click.argument("converter")
@click.argument("planner", metavar="HOST:PORT")
def explain(converter: str, planner: str) -> None:
    """Why a converter has the weight that it has."""
    found = fetched(planner)
    print(heading(found))
    entry = found.entries.get(converter)
    print(f"{converter}: {describe(entry) if entry is not None else 'as usual, nothing is said of it'}")
