"""The search for rule violations in simulation, how well simulation agrees with sockets, and how fast it is."""
