"""A sidecar balancer for service-to-service calls, its control plane, its commands and its test rigs."""
