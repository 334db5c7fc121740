"""Experiments on the GraphQL front, and their planted mistakes."""
