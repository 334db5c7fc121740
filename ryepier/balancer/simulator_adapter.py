"""Adapter to the simulator: runs many instances of the decision module, with one reply for each batch."""

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
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


class InstanceHost:
    """The running instances; they share nothing but the decoder's upstream lists."""

    def __init__(self) -> None:
        """Start with no instances."""
        self.decoder = protocol.Decoder()
        self.instances: dict[int, Balancer] = {}

    def handle_batch(self, now_us: int, count: int, body: bytes) -> bytes:
        """Hand the `count` records of a batch to their instances and return the reply frame. An exception in
        the decision module becomes an InternalError record. Raises ProtocolError for a malformed batch."""
        records: list[bytes] = []
        for instance, event in self.decoder.read_batch(body, count):
            if isinstance(event, protocol.InstanceStarted):
                self.start_instance(instance, event, now_us)
            elif isinstance(event, protocol.InstanceStopped):
                self.instances.pop(instance, None)
            elif instance in self.instances:
                classes = len(self.instances[instance].settings.classes)
                if isinstance(event, RequestArrived) and event.class_index >= classes:
                    what = f"request class {event.class_index} of {classes}"
                    raise protocol.ProtocolError(f"instance {instance}: {what}")
                try:
                    actions = self.instances[instance].handle(now_us, event)
                    records.extend([protocol.encode(instance, action) for action in actions])
                # Reported to the simulator, which counts it.
                except Exception as error:  # noqa: BLE001
                    text = f"{type(error).__name__}: {error}"
                    records.append(protocol.encode(instance, protocol.InternalError(text)))
        return protocol.reply(records)

    def start_instance(self, instance: int, event: protocol.InstanceStarted, now_us: int) -> None:
        """Start an instance, in place of an earlier one. Raises ProtocolError for wrong settings."""
        try:
            settings = parse_settings(event.options)
        except SettingsError as error:
            raise protocol.ProtocolError(str(error)) from error
        self.instances[instance] = Balancer(settings, event.seed, now_us)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = InstanceHost()
    number = 0
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
            answer = host.handle_batch(now_us, count, body)
        except protocol.ProtocolError as error:
            raise protocol.ProtocolError(f"batch {number}: {error}") from error
        sink.write(answer)
        sink.flush()
        number += 1


def main() -> int:
    """Serve standard input and output. Returns the exit status: 0 at the end of input, 2 for malformed input,
    3 if the reader of the replies is gone."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except protocol.ProtocolError as error:
        print(f"ryepier.balancer: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("ryepier.balancer: the reader of our replies is gone", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())
