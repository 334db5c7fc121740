"""Experiments on retry storms, and their planted mistakes."""
