"""All routing decisions and all tuned values, each constant in the module that it tunes.

`router` composes the others. Records and general statistics stand outside, in `routing`.
"""
