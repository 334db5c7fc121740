"""The current fault of an emulated converter, and the selection of requests that the fault affects."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from ryepier.emulator.timeline import Step
from ryepier.emulator.world import FaultKind

UNRESPONSIVE_FAULTS = (FaultKind.HANG, FaultKind.CUT)


class ConverterFaults:
    """The current fault of a converter, if any. A converter has at most one; a new fault replaces it."""

    def __init__(self, uid: str, sidecar_of: Callable[[bytes], int]) -> None:
        """Start without a fault; `sidecar_of` returns the sidecar that a client sent a request to."""
        self._uid = uid.encode()
        self._sidecar_of = sidecar_of
        self._step: Step | None = None  # the step that began the current fault

    def begin(self, step: Step) -> None:
        """Begin a fault, which replaces the current one."""
        self._step = step

    def end(self) -> FaultKind | None:
        """End the current fault, and return its kind, or None if there was no fault."""
        step, self._step = self._step, None
        return step.fault if step is not None else None

    def is_any_of(self, *kinds: FaultKind) -> bool:
        """Return whether the current fault is of one of these kinds."""
        return self._step is not None and self._step.fault in kinds

    @property
    def is_unresponsive(self) -> bool:
        """Whether the converter answers no requests or probes."""
        return self.is_any_of(*UNRESPONSIVE_FAULTS)

    def affects(self, kind: FaultKind, request_id: bytes) -> bool:
        """Return whether the current fault is of this kind and affects a request."""
        return self.is_any_of(kind) and self.affecting(request_id) is kind

    def affecting(self, request_id: bytes) -> FaultKind | None:
        """Return the kind of the current fault if it affects a request, or None.

        While the fault lasts, the result is the same for every attempt with the same request id.
        """
        step = self._step
        if step is None or (step.via is not None and self._sidecar_of(request_id) not in step.via):
            return None
        return step.fault if zlib.crc32(request_id + self._uid) < step.share * 2**32 else None
