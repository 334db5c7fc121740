"""What every experiment is made of: the contract, the worlds, the judge of a run, its figures and its report."""
