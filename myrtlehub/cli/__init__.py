"""The programs: their command lines, exit codes and output, and the construction of each process.

`hub-node`, `hub-emulator`, `hub-scenario`, `hub-endpoints`, `hub-rollout` and `hub-soak` have a module each,
and so have two test programs, `stepped_clock` and `faulty_node`. They share `event_loop`, `network`,
`json_log` and `exits`. The implementation is in the other packages; a module imports most of it only when its
command runs, so that commands that only validate a file start quickly.
"""
