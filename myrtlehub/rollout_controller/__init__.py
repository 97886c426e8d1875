"""The rollout controller as a process.

The controller polls nodes, writes the journal, supervises processes and sends orders to nodes. The decisions
are made in `rollout.progress` and `rollout.canary_analysis`. An action is executed only after the event that
requires it is on disk. An unreachable node is left unchanged. The command line is `cli.rollout`; nodes handle
the orders in `node.admin`.
"""
