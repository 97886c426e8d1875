"""Membership: the endpoint list as a series of complete, validated and numbered versions.

The package contains the sources of the list (the node's settings, pushes through the admin service, watched
files), snapshots of files and the process that reads them, list validation with flap damping, and the version
store, which preserves the last accepted versions across restarts. It does not decide how a change affects
in-flight sequences: a source sends updates to its listener, and `myrtlehub.node` and the router handle them.
"""
