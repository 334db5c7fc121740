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

REDIAL_S = 0.2


class PeerConnections:
    """One dialled connection to each peer; what peers send comes over connections that they dial."""

    def __init__(self, settings: CoordinatorSettings) -> None:
        """Nothing is opened yet."""
        self.addresses = settings.addresses
        self.hello = PeerHello(VERSION, settings.region, settings.replica, settings.agreement.digest)
        self.open: dict[str, Connection] = {}

    def send(self, peer: str, message: ReplicaMessage) -> None:
        """Send, or drop it where the peer is away: it will be sent again."""
        connection = self.open.get(peer)
        if connection is not None:
            connection.send(message)

    async def keep(self, name: str) -> None:
        """Hold a connection to a peer that carries this replica's messages to it."""
        while True:
            with contextlib.suppress(OSError, EOFError, TransportError):
                connection = await Connection.dial(self.addresses[name], self.hello)
                self.open[name] = connection
                try:
                    await self._read_refusal(name, connection)
                finally:
                    self.open.pop(name, None)
                    connection.close()
            await asyncio.sleep(REDIAL_S)

    @staticmethod
    async def _read_refusal(name: str, connection: Connection) -> None:
        """Until the peer ends the connection; it sends nothing but a refusal on it."""
        frame = await connection.receive()
        reason = frame.reason if isinstance(frame, Rejection) else f"a {type(frame).__name__} out of turn"
        log.warning("peer %s refuses: %s", name, reason)
