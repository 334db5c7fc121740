"""ryepier: what grows around the sidecar: its configuration, its commands, and the world to try it in."""
