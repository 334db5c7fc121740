"""File formats of the checker: checkpoints of explorations (MessagePack) and recorded paths (JSON).

The files' keys are older than the names in the code; this module maps one to the other.
"""

from __future__ import annotations

from dataclasses import fields

import msgspec

from ryepier.check.model import Action, Model, Step

EncodedStep = tuple[Action, int, str, tuple[int, ...]]
MODEL_KEYS = {
    "failure_domains": "cells",
    "max_attempts": "attempts",
    "list_changes": "changes",
    "client_disconnects": "leaves",
    "connects_first": "dials",
}
"""Fields of `Model` whose key in a file differs from their name."""


class Checkpoint(msgspec.Struct):
    """An exploration that can be continued later."""

    model: str  # what `model_signature` returns
    seen: list[bytes]
    frontier: list[list[EncodedStep]]
    transitions: int
    ends: int
    depth: int
    seconds: float


class RecordedPath(msgspec.Struct):
    """A path to a violation, as `ryepier check run --out` writes it."""

    model: dict[str, object]
    path: list[EncodedStep]
    seeded_fault: str = msgspec.field(name="plant", default="")


def encode_step(step: Step) -> EncodedStep:
    """Return the form that a step has in a file."""
    return step.action, step.index, step.detail, step.draws


def decode_step(encoded: EncodedStep) -> Step:
    """Return the step that `encode_step` encoded."""
    return Step(*encoded)


def encode_model(model: Model) -> dict[str, object]:
    """Return the model's fields by their keys, in the order of their definition."""
    return {MODEL_KEYS.get(field.name, field.name): getattr(model, field.name) for field in fields(model)}


def decode_model(encoded: dict[str, object]) -> Model:
    """Return the model that `encode_model` encoded. Raises msgspec.ValidationError."""
    names = {key: name for name, key in MODEL_KEYS.items()}
    return msgspec.convert({names.get(key, key): value for key, value in encoded.items()}, Model)


def model_signature(model: Model) -> str:
    """Return a text that differs between models, by which a checkpoint names its own."""
    return f"Model({', '.join(f'{key}={value!r}' for key, value in encode_model(model).items())})"
