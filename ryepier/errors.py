"""Root of the project's exceptions."""


class RyepierError(Exception):
    """Base class of the errors that the project raises for others to handle."""
