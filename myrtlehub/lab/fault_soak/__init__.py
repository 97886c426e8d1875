"""A randomized fault test of relay nodes: processes on loopback, overlapping faults, an oracle."""
