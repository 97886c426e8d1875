"""A model of a takeover for the model checker: one sequence, its owners, their replicas and engines.

Several nodes may take the sequence over at once. Messages arrive late, twice or not at all; owners pause,
replicas and engines restart.

Each process runs the functions that the program runs: those of `sequence_records`, `ownership`, `fencing`
and `recovery_decision`. In addition to what each process knows, the state records what the rules are
checked against: how often the sequence was executed, and how its clients were answered.

    state           the state, its parameters, and messages in transit
    owner_steps     steps of an owner: it updates replicas, sends attempts and answers its client
    takeover_steps  steps of a node that takes over
    network_steps   delivery of messages, engines and faults
    checker_model   all steps together, and the rules
"""

from myrtlehub.recovery.model.checker_model import RecoveryModel
from myrtlehub.recovery.model.state import ModelParameters, initial_state

__all__ = ["ModelParameters", "RecoveryModel", "initial_state"]
