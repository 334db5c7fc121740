"""The replicated log of a region's coordinators: Raft without I/O, and the file that stores a replica's state."""
