"""The search for faults in simulation, what simulation is worth, and mistakes that only it is known to find."""
