"""The world that a sidecar lives in, over real loopback sockets: converters, discovery, clients and their faults.

One world is one TOML file (`world.py`). Its draws and its timeline follow from the file and a seed alone, so every
process of a run works them out for itself and needs only the moment at which the run begins.
"""
