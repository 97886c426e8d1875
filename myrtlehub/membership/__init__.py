"""Membership: which endpoints there are, as complete and validated versions of the endpoint list.

Here are the sources of the list (a section of the node's file, pushes, watched files), snapshots of files and
the process that reads them, validation with flap damping, numbered versions and the store that keeps the last
good ones over restarts. What a change of the list means for sequences in flight is not decided here: a source
passes endpoints to its listener, and `myrtlehub.node` and the router act on them.
"""
