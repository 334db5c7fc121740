"""The roles of a replica and all transitions between them.

| role | answers vote requests | starts elections | appends entries |
| --- | --- | --- | --- |
| recovering | no | no | no |
| learner | no | no | yes |
| follower | yes | yes | yes |
| candidate | yes | yes | yes, after becoming a follower |
| leader | yes | no | only its own |
"""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a replica. The values appear in log messages."""

    RECOVERING = "recovering"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Event(Enum):
    """An event that can change a replica's role."""

    ALL_MEMBERS_ANSWERED = "every other member has answered with its term"
    CAUGHT_UP = "the log holds an entry of a leader that was elected without this replica"
    ELECTION_TIMEOUT = "no leader has sent entries for an election timeout"
    ELECTION_WON = "a majority has voted for this replica"
    ENTRIES_RECEIVED = "a leader of the same term has sent entries"
    HIGHER_TERM = "a message of a higher term has arrived"
    QUORUM_LOST = "no majority has answered this leader for an election timeout"


TRANSITIONS: dict[tuple[Role, Event], Role] = {
    (Role.RECOVERING, Event.ALL_MEMBERS_ANSWERED): Role.LEARNER,
    (Role.LEARNER, Event.CAUGHT_UP): Role.FOLLOWER,
    (Role.LEARNER, Event.ENTRIES_RECEIVED): Role.LEARNER,
    (Role.LEARNER, Event.HIGHER_TERM): Role.LEARNER,
    (Role.FOLLOWER, Event.ELECTION_TIMEOUT): Role.CANDIDATE,
    (Role.FOLLOWER, Event.ENTRIES_RECEIVED): Role.FOLLOWER,
    (Role.FOLLOWER, Event.HIGHER_TERM): Role.FOLLOWER,
    (Role.CANDIDATE, Event.ELECTION_TIMEOUT): Role.CANDIDATE,
    (Role.CANDIDATE, Event.ELECTION_WON): Role.LEADER,
    (Role.CANDIDATE, Event.ENTRIES_RECEIVED): Role.FOLLOWER,
    (Role.CANDIDATE, Event.HIGHER_TERM): Role.FOLLOWER,
    (Role.LEADER, Event.HIGHER_TERM): Role.FOLLOWER,
    (Role.LEADER, Event.QUORUM_LOST): Role.FOLLOWER,
}
