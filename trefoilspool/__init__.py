"""A request scheduler for heterogeneous model engines and plain services.

The names below are the public interface for programs that embed the claims,
the settings tree and the scheduling core without the daemon; see
docs/EMBEDDING.md.
"""

from trefoilspool.cell import Cell
from trefoilspool.claims import ClaimKey, ClaimTask, ReleaseKey
from trefoilspool.errors import TrefoilspoolError
from trefoilspool.events import (
    Ask,
    Ending,
    EndpointSeen,
    Grant,
    Pace,
    Refuse,
    Release,
    RequestKey,
    Revoke,
    Tick,
    VictimClass,
)
from trefoilspool.ledger import Claim, Holder, key_hash
from trefoilspool.operator import Operator
from trefoilspool.outcome import Outcome
from trefoilspool.platform import LogPage, LogRecord, LogService
from trefoilspool.platforms.memory import MemoryLog
from trefoilspool.policy import Candidate, Policy
from trefoilspool.problems import Problem
from trefoilspool.task import Task, TaskGroup
from trefoilspool.tree import KindPlace, Tree

__all__ = [
    'Ask',
    'Candidate',
    'Cell',
    'Claim',
    'ClaimKey',
    'ClaimTask',
    'EndpointSeen',
    'Ending',
    'Grant',
    'Holder',
    'KindPlace',
    'LogPage',
    'LogRecord',
    'LogService',
    'MemoryLog',
    'Operator',
    'Outcome',
    'Pace',
    'Policy',
    'Problem',
    'Refuse',
    'Release',
    'ReleaseKey',
    'RequestKey',
    'Revoke',
    'Task',
    'TaskGroup',
    'Tick',
    'Tree',
    'TrefoilspoolError',
    'VictimClass',
    'key_hash',
]

__version__ = '0.1.0'
