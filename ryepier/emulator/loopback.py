"""Selects a loopback network for a run, so that concurrent runs on one machine do not share addresses."""

from __future__ import annotations

import errno
import os
import socket

from ryepier.emulator.errors import HarnessError
from ryepier.emulator.process import CONVERTER_PORT

MIN_NETWORK, MAX_NETWORK = 16, 250  # range of `network`, the second octet of the addresses 127.network.x.y


def find_network() -> int:
    """Return a loopback network that no other run on this machine uses. Raises HarnessError if there is none."""
    network_count = MAX_NETWORK - MIN_NETWORK + 1
    for offset in range(network_count):
        network = MIN_NETWORK + (os.getpid() + offset) % network_count
        if _is_free(network):
            return network
    raise HarnessError("every loopback network is in use")


def _is_free(network: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((f"127.{network}.0.1", CONVERTER_PORT))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise HarnessError(f"cannot bind a loopback address: {error}") from error
            return False
    return True
