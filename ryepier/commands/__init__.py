"""What each command does; `ryepier.cli` puts them together."""
