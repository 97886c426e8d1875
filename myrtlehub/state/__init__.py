"""The state machines of a sequence as transition tables, and a model checker for their combinations.

    state_machine      generic state machines and transition tables
    attempt, answer    transition tables for an attempt and for the answer of a sequence
    read_state         transition table for the read state that a reader keeps for a sequence
    response_completeness
                       whether a response whose content marks its own end is complete
    invariants         conditions checked on each send, connection close, final answer and sequence removal
    model              data types of the model: nodes, engines, sequences and a network
    model_router, model_client, model_engine, model_node, model_faults
                       the steps of the model, by the component that takes them
    model_steps        functions shared by these steps
    model_transitions  all steps combined
    model_checker      exhaustive search, which other models use as well

The tables define which events may occur and what the node knows after each; a router decides what to do next.
The tables for takeovers and rollouts are in the packages that use them.
"""
