"""`ryepier plan`: show the current plan of a planner, compare two plans, or explain a converter's weight."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import click
import msgspec

from ryepier.commands.exits import ExitCode, fail
from ryepier.plan.messages import VERSION, ConverterAdvice, FrameDecoder, Hello, Plan, ProtocolError, encode
from ryepier.sidecar.config import parse_address

FETCH_TIMEOUT_S = 3.0
READ_BYTES = 65_536
CLIENT_NAME = "a reader"  # not counted as a forwarder by planners, as it sends no load reports


async def fetch(address: tuple[str, int]) -> Plan:
    """Return the first plan that a planner sends.

    Raises OSError if the planner is unreachable, TimeoutError if it sends no plan within `FETCH_TIMEOUT_S`, and
    ProtocolError if it closes the connection or breaks the protocol before that.
    """
    async with asyncio.timeout(FETCH_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode(Hello(VERSION, CLIENT_NAME, time.time_ns() // 1000)))
            return await _read_plan(reader)
        finally:
            writer.close()


async def _read_plan(reader: asyncio.StreamReader) -> Plan:
    frame_decoder = FrameDecoder()
    while data := await reader.read(READ_BYTES):
        for message in frame_decoder.feed(data):
            if isinstance(message, Plan):
                return message
    raise ProtocolError("the planner closed the connection before it sent a plan")


def fetch_plan_or_exit(text: str) -> Plan:
    """Return the current plan of the planner at `host:port`; exit with 1 if it sends none."""
    try:
        address = parse_address(text)
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    try:
        return asyncio.run(fetch(address))
    except TimeoutError:
        reason = f"{text} sends no plan: it is not the leader, or it has too few load reports"
        fail("plan", reason, ExitCode.FAILURE)
    except (OSError, ProtocolError) as error:
        fail("plan", f"{text}: {error}", ExitCode.FAILURE)


def read_plan_or_exit(path: Path) -> Plan:
    """Return the plan in a file that `show --json` wrote; exit with 2 if the file contains no plan."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Plan)
    except (OSError, msgspec.MsgspecError) as error:
        fail("plan", f"{path}: {error}", ExitCode.MISUSE)


def describe(advice: ConverterAdvice) -> str:
    """Return a plan's advice for a converter, with the reason, in one line."""
    if advice.ejected:
        return f"ejected, {advice.trial_share:.1%} of the forwarders may probe it: {advice.reason}"
    limit = advice.concurrency_limit
    limit_text = f", at most {limit} in flight per forwarder" if limit else ""
    return f"weight {advice.weight:.2f}{limit_text}: {advice.reason}"


def describe_plan(plan: Plan) -> str:
    """Return a plan's number, its leader's term and the evidence behind it in one line."""
    evidence = plan.evidence
    return (
        f"plan {plan.number} of {plan.term.planner}, epoch {plan.term.epoch}; {evidence.forwarders} forwarders, "
        f"{evidence.attempts} attempts in {evidence.window_ms} ms, "
        f"{evidence.covered} of {evidence.listed} converters observed"
    )


@click.group()
def plan() -> None:
    """Show the plans of planners and the reasons behind them."""


@plan.command()
@click.argument("planner", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="Print the plan as JSON, for programs and for `diff`.")
def show(planner: str, as_json: bool) -> None:
    """Print the current plan of a planner."""
    current_plan = fetch_plan_or_exit(planner)
    if as_json:
        print(json.dumps(msgspec.to_builtins(current_plan)))
        return
    print(describe_plan(current_plan))
    for uid, advice in sorted(current_plan.entries.items()):
        print(f"{uid:24} {describe(advice)}")


@plan.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
def diff(old: Path, new: Path) -> None:
    """Print the differences of two plans that `show --json` wrote."""
    before = read_plan_or_exit(old)
    after = read_plan_or_exit(new)
    print(f"- {describe_plan(before)}\n+ {describe_plan(after)}")
    default_advice = ConverterAdvice()
    for uid in sorted(before.entries.keys() | after.entries.keys()):
        advice_before = before.entries.get(uid, default_advice)
        advice_after = after.entries.get(uid, default_advice)
        if advice_before != advice_after:
            print(f"{uid}\n  - {describe(advice_before)}\n  + {describe(advice_after)}")


@plan.command()
@click.argument("converter")
@click.argument("planner", metavar="HOST:PORT")
def explain(converter: str, planner: str) -> None:
    """Print why a converter has its weight."""
    current_plan = fetch_plan_or_exit(planner)
    print(describe_plan(current_plan))
    advice = current_plan.entries.get(converter)
    print(f"{converter}: {describe(advice) if advice is not None else 'not in the plan, so its weight is the default'}")
