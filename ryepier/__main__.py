"""Entry point of `python -m ryepier`, which does the same as the `ryepier` command."""

from ryepier.cli import main

if __name__ == "__main__":
    main()
