"""A model of replication and takeover for the model checker: one sequence, its owners, replicas and engines.

Several nodes may take the sequence over concurrently. Messages may be delayed, duplicated or lost; owners
may pause, and replicas and engines may restart.

The modelled processes call the functions that the nodes and engines use: those of `sequence_records`,
`ownership`, `fencing` and `recovery_decision`. The state also records what the invariants are checked on and
no process knows: how often the sequence was executed, and how its clients were answered.

    state           the state of the model, its parameters, and messages in transit
    owner_steps     steps of an owner: it updates replicas, sends attempts and answers its client
    takeover_steps  steps of a successor, a node that takes the sequence over
    network_steps   delivery of messages, execution at engines, and faults
    checker_model   all steps together, and the invariants
"""

from myrtlehub.recovery.model.checker_model import RecoveryModel
from myrtlehub.recovery.model.state import ModelParameters, initial_state

__all__ = ["ModelParameters", "RecoveryModel", "initial_state"]
