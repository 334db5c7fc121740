"""Named experiments: a world, a judge apart from the sidecar, claims that can fail, and a report."""
