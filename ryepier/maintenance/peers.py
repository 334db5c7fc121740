"""The outgoing connections of a replica to its peers."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from ryepier.maintenance.api import VERSION, PeerHello, Rejection
from ryepier.maintenance.replication.messages import Message as ReplicaMessage
from ryepier.maintenance.settings import CoordinatorSettings
from ryepier.maintenance.transport import Connection, TransportError

log = logging.getLogger(__name__)

REDIAL_DELAY_S = 0.2


class PeerConnections:
    """One outgoing connection to each peer. Messages from peers arrive over connections that the peers open."""

    def __init__(self, settings: CoordinatorSettings) -> None:
        """Start without connections; the peers' addresses are read from `settings`."""
        self.addresses = settings.addresses
        self.hello = PeerHello(VERSION, settings.region, settings.replica, settings.agreement.digest)
        self.connections: dict[str, Connection] = {}

    def send(self, peer: str, message: ReplicaMessage) -> None:
        """Send a message, or drop it if the peer is not connected; the replica repeats its messages."""
        connection = self.connections.get(peer)
        if connection is not None:
            connection.send(message)

    async def keep_connected(self, peer: str) -> None:
        """Connect to a peer, and reconnect whenever the connection is lost; runs until it is cancelled."""
        while True:
            with contextlib.suppress(OSError, EOFError, TransportError):
                connection = await Connection.dial(self.addresses[peer], self.hello)
                self.connections[peer] = connection
                try:
                    await self._wait_for_rejection(peer, connection)
                finally:
                    self.connections.pop(peer, None)
                    connection.close()
            await asyncio.sleep(REDIAL_DELAY_S)

    @staticmethod
    async def _wait_for_rejection(peer: str, connection: Connection) -> None:
        """Wait until the connection ends; log a rejection, which is the only frame that a peer may send on it."""
        frame = await connection.receive()
        reason = frame.reason if isinstance(frame, Rejection) else f"unexpected {type(frame).__name__}"
        log.warning("peer %s rejected this replica: %s", peer, reason)
