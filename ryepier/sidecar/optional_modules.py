"""Leaves out modules of the standard library that other modules of it use only if they are there."""

import sys

# asyncio needs `ssl` only for TLS, and hashlib has a BLAKE2 of its own. Both would load OpenSSL, whose pages count as
# memory.
TLS_MODULES = ("ssl", "_hashlib")


def leave_out_tls() -> None:
    """Make imports of the modules that load OpenSSL fail from now on, unless they are loaded already."""
    for name in TLS_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]  # None makes an import raise ImportError
