"""The programs: command lines, exit codes, printed lines, and how the parts of a process are put together.

Here are `hub-node`, `hub-engine`, `hub-day`, `hub-endpoints` and `hub-roll`, and two programs for trials
(`stepped`, `variant`). What they run is in the other packages.
"""
