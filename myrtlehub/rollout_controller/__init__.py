"""The rollout controller as a process.

It polls nodes, writes the journal, supervises processes and sends orders. The decisions are made in
`rollout.progress` and `rollout.canary_analysis`. An action is executed only after the event that requires it
is on disk. A node that cannot be reached is left unchanged. The command line is `cli.rollout`; `node.admin`
handles the orders.
"""
