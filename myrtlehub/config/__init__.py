"""Settings: the models of YAML files, and the validation of files against them.

`loader` reads and validates a file, `fault_lines` describes each fault by one line with file, line number,
field and fix, `units` and `field_types` define the types of fields. The other modules are models: of a node's
file (`node`, with `traffic`, `engines`, `endpoints`, `limits`, `batches` and `takeover`), of an emulated
engine's file (`emulated_engine`) and of a rollout plan (`rollout_plan`). A frozen model holds what the file
says; the packages that use it derive their own values from it.
"""
