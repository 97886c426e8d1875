"""Settings: the models of YAML files, and how a file is checked against them.

`loader` reads a file whole or not at all, `fault_lines` turns each fault into a line with file, line, field
and fix, `units` and `field_types` read values. The other modules are models: of a node's file (`node`, with
`traffic`, `engines`, `endpoints`, `limits`, `batches`, `takeover`), of an emulated engine's and of a rollout
plan. Values that a running program derives from them are not made here.
"""
