"""The connections that carry a replica's messages to the other members of its region."""

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
    """One outgoing connection to each peer; their messages arrive over connections that they open."""

    def __init__(self, settings: CoordinatorSettings) -> None:
        """Know the peers' addresses; nothing is opened yet."""
        self.addresses = settings.addresses
        self.hello = PeerHello(VERSION, settings.region, settings.replica, settings.agreement.digest)
        self.connections: dict[str, Connection] = {}

    def send(self, peer: str, message: ReplicaMessage) -> None:
        """Send a message, or drop it where the peer is not connected: the replica sends it again."""
        connection = self.connections.get(peer)
        if connection is not None:
            connection.send(message)

    async def keep_connected(self, peer: str) -> None:
        """Keep a connection open that carries this replica's messages to a peer; runs until it is cancelled."""
        while True:
            with contextlib.suppress(OSError, EOFError, TransportError):
                connection = await Connection.dial(self.addresses[peer], self.hello)
                self.connections[peer] = connection
                try:
                    await self._read_rejection(peer, connection)
                finally:
                    self.connections.pop(peer, None)
                    connection.close()
            await asyncio.sleep(REDIAL_DELAY_S)

    @staticmethod
    async def _read_rejection(peer: str, connection: Connection) -> None:
        """Wait until the peer closes the connection; it sends nothing but a rejection on it."""
        frame = await connection.receive()
        reason = frame.reason if isinstance(frame, Rejection) else f"unexpected {type(frame).__name__}"
        log.warning("peer %s rejects this replica: %s", peer, reason)
