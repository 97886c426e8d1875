"""The programs: command lines, exit codes, printed lines, and how the parts of a process are put together.

Here are `hub-node`, `hub-emulator`, `hub-scenario`, `hub-endpoints` and `hub-rollout`, and two programs for
trials (`stepped_clock`, `faulty_node`). What they run is in the other packages.
"""
