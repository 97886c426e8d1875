"""State machines of a sequence as transition tables, and a model checker that searches their combinations.

Here are the generic machine (`state_machine`), the three tables of a sequence (`attempt`, `answer`,
`read_state`), the model of nodes, engines and network around them (`model`, `model_router`, `model_client`,
`model_engine`, `model_faults`, `model_transitions`) and the checker (`model_checker`). What is to be done
next is a router's decision and not stated here; the tables of takeovers and rollouts are in their packages.
"""
