"""`python -m ryepier`: the same as the `ryepier` command."""

from ryepier.cli import main

if __name__ == "__main__":
    main()
