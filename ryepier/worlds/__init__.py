"""World files of the experiments and the demo, one TOML file each."""
