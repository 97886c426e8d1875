"""A model of a takeover for the model checker: one sequence, its owner, replicas, other nodes and engines.

Two nodes may take the sequence over at once. Messages are late, lost and doubled; owners pause, replicas
and engines restart.

What each side does are the functions that the program runs (`sequence_records`, `ownership`, `fencing`,
`recovery_decision`). Beside what they know the model has what is true: how often the sequence had its
effect, and what a client was answered.

`state` has the state of the model and its parameters, `owner_steps` what an owner does, `takeover_steps`
what a node does that takes over, `network_steps` messages, engines and faults, and `checker_model` all
steps together.
"""

from myrtlehub.recovery.model.checker_model import RecoveryModel
from myrtlehub.recovery.model.state import ModelParameters, initial_state

__all__ = ["ModelParameters", "RecoveryModel", "initial_state"]
