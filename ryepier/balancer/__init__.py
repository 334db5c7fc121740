"""The decisions of a sidecar balancer for service-to-service calls."""
