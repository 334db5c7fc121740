"""A replicated log for the coordinators of one region: Raft as a pure core, and the file that stores its state."""
