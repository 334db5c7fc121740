"""How evenly a fleet of sidecars, each of which sees little of the load, spreads it over the converters."""
