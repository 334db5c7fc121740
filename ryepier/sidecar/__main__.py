"""Entry point of the sidecar process: `python -m ryepier.sidecar`; BALANCER_CONFIG names the configuration file."""

import sys

from ryepier.sidecar import optional_modules

if __name__ == "__main__":
    optional_modules.leave_out_tls()  # before asyncio is imported
    from ryepier.sidecar.process import main

    sys.exit(main())
