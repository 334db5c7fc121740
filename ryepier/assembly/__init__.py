"""Puts sidecars and planners together from their operators' files; commands and simulations start what it makes."""
