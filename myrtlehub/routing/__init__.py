"""Routing: which engine reads a sequence, which one writes it, and when to give up.

`contract` has the calls and the actions between a router and the program round it; `router` has all routing
decisions and tuned values. Nothing here knows of sockets, clocks, files or wire formats.
"""
