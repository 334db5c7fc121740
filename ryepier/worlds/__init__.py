"""World files that experiments and the demo play, one TOML file each."""
