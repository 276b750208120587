"""Capacity benchmarks, one module a role."""

from trefoilspool.bench import Bench
from trefoilspool.benches.claims import ClaimBytes, ClaimFold, ClaimMemory
from trefoilspool.benches.frames import FrameBytes, FrameTime
from trefoilspool.benches.membership import BeatBytes, ViewMemory, ViewTime
from trefoilspool.benches.scheduling import (
    DecisionByEndpoints,
    DecisionByQueue,
    EndpointMemory,
    WaitingMemory,
)
from trefoilspool.benches.settings import (
    EditFold,
    SnapshotBytes,
    TreeMemory,
)
from trefoilspool.benches.slotscheduler import (
    SlotBytes,
    SlotSchedulerByEndpoints,
    SlotSchedulerByWaiting,
    SlotSchedulerMemory,
)

__all__ = ['BENCHES']

BENCHES: tuple[type[Bench], ...] = (
    FrameBytes,
    FrameTime,
    DecisionByEndpoints,
    DecisionByQueue,
    EndpointMemory,
    WaitingMemory,
    ClaimBytes,
    ClaimFold,
    ClaimMemory,
    EditFold,
    SnapshotBytes,
    TreeMemory,
    BeatBytes,
    ViewTime,
    ViewMemory,
    SlotSchedulerByEndpoints,
    SlotSchedulerByWaiting,
    SlotSchedulerMemory,
    SlotBytes,
)
