"""Detection and damping of retry storms, in which many clients retry after an outage.

`failed_request_sketch` recognises retries, and `storm_detector` decides whether there is a storm and how many retries
to admit. Neither performs I/O or reads a clock. `retry_storm_guard` connects them to a sidecar, whose decision module
applies the reported shares and Retry-After times.
"""
