"""Membership: the endpoint list, held as complete, validated and numbered versions.

The package has the sources of the list (the node's settings, pushes over the admin service, watched files),
snapshots of files and the process that reads them, validation with flap damping, and the version store, which
preserves the last accepted versions over restarts. It does not decide what a change of the list means for
sequences in flight: a source sends updates to its listener, and `myrtlehub.node` and the router act on them.
"""
