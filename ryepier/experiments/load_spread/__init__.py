"""How evenly a fleet of sidecars, each of which sees little of the load, spreads it over the converters."""

from ryepier.experiments.load_spread import even, returned

EXPERIMENTS = (even.EXPERIMENT, returned.EXPERIMENT)
