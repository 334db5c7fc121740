"""File formats of the checker: checkpoints of explorations (MessagePack) and recorded paths (JSON).

Some keys in the files are former names of fields, which the code has renamed. This module maps keys to names.
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
"""Keys in files by names of `Model` fields, for the fields whose key differs from the name."""


class Checkpoint(msgspec.Struct):
    """The progress of an exploration, from which it can be continued."""

    model: str  # result of `model_signature`
    seen: list[bytes]  # digests of all states found so far
    frontier: list[list[EncodedStep]]  # paths to expand next
    transitions: int
    ends: int  # number of terminal states
    depth: int
    seconds: float


class RecordedPath(msgspec.Struct):
    """A path to a violation, written by `ryepier check run --out`."""

    model: dict[str, object]
    path: list[EncodedStep]
    seeded_fault: str = msgspec.field(name="plant", default="")


def encode_step(step: Step) -> EncodedStep:
    """Return a step in the form that is written to files."""
    return step.action, step.index, step.detail, step.draws


def decode_step(encoded: EncodedStep) -> Step:
    """Return the step that `encode_step` has encoded."""
    return Step(*encoded)


def encode_model(model: Model) -> dict[str, object]:
    """Return a model's field values by their keys in files, in the order in which the fields are defined."""
    return {MODEL_KEYS.get(field.name, field.name): getattr(model, field.name) for field in fields(model)}


def decode_model(encoded: dict[str, object]) -> Model:
    """Return the model that `encode_model` has encoded. Raises msgspec.ValidationError if it is malformed."""
    names_by_key = {key: name for name, key in MODEL_KEYS.items()}
    return msgspec.convert({names_by_key.get(key, key): value for key, value in encoded.items()}, Model)


def model_signature(model: Model) -> str:
    """Return a text that contains all parameters of a model, by which a checkpoint identifies its model."""
    return f"Model({', '.join(f'{key}={value!r}' for key, value in encode_model(model).items())})"
