"""The controller of a rollout as a process.

It polls nodes, writes the journal, supervises processes and gives orders. It decides nothing:
`rollout.progress` says what comes next, `rollout.canary_analysis` what the figures show. An action is carried
out only once the event that it follows from is on disk; a node that cannot be reached is left as it is. The
command line is `cli.rollout`; what a node does with an order is in `node`.
"""
