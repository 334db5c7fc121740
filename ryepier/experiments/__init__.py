"""Named experiments: each runs a world, checks claims about the recorded run, and writes a report."""
