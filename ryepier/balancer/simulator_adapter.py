"""Adapter to the simulator: runs many instances of the decision module and replies to each batch."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ryepier.balancer import simulator_protocol as protocol
from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import RequestArrived
from ryepier.balancer.settings_parser import SettingsError, parse_settings


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end of input."""
    data = source.read(size)
    while len(data) < size:
        chunk = source.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


class InstanceHost:
    """The running instances of the decision module. They share nothing but the upstream lists of the
    decoder."""

    def __init__(self) -> None:
        """Start with no instances."""
        self.decoder = protocol.Decoder()
        self.instances: dict[int, Balancer] = {}

    def handle_batch(self, now_us: int, count: int, body: bytes) -> bytes:
        """Pass the `count` records of a batch to their instances and return the reply frame. An exception in
        the decision module becomes an InternalError record. Raises ProtocolError for a malformed batch."""
        records: list[bytes] = []
        for instance, event in self.decoder.read_batch(body, count):
            if isinstance(event, protocol.InstanceStarted):
                self.start_instance(instance, event, now_us)
            elif isinstance(event, protocol.InstanceStopped):
                self.instances.pop(instance, None)
            elif instance in self.instances:
                class_count = len(self.instances[instance].settings.classes)
                if isinstance(event, RequestArrived) and event.class_index >= class_count:
                    problem = f"request class {event.class_index} of {class_count}"
                    raise protocol.ProtocolError(f"instance {instance}: {problem}")
                try:
                    actions = self.instances[instance].handle(now_us, event)
                    records.extend([protocol.encode_action(instance, action) for action in actions])
                # The simulator counts the reported errors, so an exception must not end the process.
                except Exception as error:  # noqa: BLE001
                    text = f"{type(error).__name__}: {error}"
                    records.append(protocol.encode_action(instance, protocol.InternalError(text)))
        return protocol.encode_reply(records)

    def start_instance(self, instance: int, event: protocol.InstanceStarted, now_us: int) -> None:
        """Start an instance, replacing an earlier one. Raises ProtocolError for invalid settings."""
        try:
            settings = parse_settings(event.options)
        except SettingsError as error:
            raise protocol.ProtocolError(str(error)) from error
        self.instances[instance] = Balancer(settings, event.seed, now_us)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches from `source` and write their replies to `sink`, until the input ends."""
    host = InstanceHost()
    batch_number = 0
    while True:
        header = read_exactly(source, protocol.HEADER.size)
        if not header:
            return
        try:
            if len(header) < protocol.HEADER.size:
                raise protocol.ProtocolError(
                    f"truncated header: {len(header)} of {protocol.HEADER.size} bytes"
                )
            size, count, now_us = protocol.HEADER.unpack(header)
            body = read_exactly(source, size)
            if len(body) < size:
                raise protocol.ProtocolError(f"truncated body: {len(body)} of {size} bytes")
            reply_frame = host.handle_batch(now_us, count, body)
        except protocol.ProtocolError as error:
            raise protocol.ProtocolError(f"batch {batch_number}: {error}") from error
        sink.write(reply_frame)
        sink.flush()
        batch_number += 1


def main() -> int:
    """Serve standard input and output. Returns the exit status: 0 at the end of input, 2 for malformed input,
    3 if the reader of standard output has closed it."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except protocol.ProtocolError as error:
        print(f"ryepier.balancer: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("ryepier.balancer: standard output was closed by its reader", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())
