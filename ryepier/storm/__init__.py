"""Retry storms: clients that all retry after an outage, detected and damped.

Pure: `failed_request_sketch` (which requests are retries) and `storm_detector` (whether there is a storm, and how
many retries to admit); `retry_storm_guard` connects them to a sidecar. The decision module rejects by these shares and
times.
"""
