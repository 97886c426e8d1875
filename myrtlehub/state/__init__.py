"""The state machines of a sequence as transition tables, and a model checker for their combinations.

    state_machine      the generic machine and its tables
    attempt, answer    the tables of an attempt and of a sequence's answer
    read_state         the table of the read state that a reader has for a sequence
    invariants         the conditions that are checked at each send, close, answer and forgetting
    model              the model: nodes, engines, sequences, a network
    model_router, model_client, model_engine, model_node, model_faults
                       the steps of the model, by who makes them, over the functions in model_steps
    model_transitions  all steps together
    model_checker      the exhaustive search, which other models use as well

The tables define which events may occur and what the node then knows; a router decides what is done next.
The tables of takeovers and rollouts are in their own packages.
"""
