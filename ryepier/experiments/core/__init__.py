"""The parts that all experiments share: their definition, worlds, rule checks, figures, runner and report."""
