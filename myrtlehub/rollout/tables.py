"""The lives of one node and of the whole change during a rolling change, as tables in the manner of
`state/lives.py`: every event in every state has a result.

They say where a node or the change stands. When a node's turn comes, and how many may be away, is `course`'s;
what the figures say is `judge`'s; `cli/roller` and `node/` carry out and look.
"""

from myrtlehub.state.lives import table

# What the owner does, beside those of `state.lives`. `change` asks a node for the new revision and `unchange`
# for the old one (leave and begin anew, or apply in place); `begin` and `begin old` start its process.
CHANGE, UNCHANGE, BEGIN, BEGIN_OLD, KILL = "change", "unchange", "begin", "begin old", "kill"
FAIL, DIED, TELL = "fail", "died", "tell"
# `failed` is a node on which the change did not work and that is still to be undone; `stuck` one on which
# undoing did not work either, or that shows what nobody here ordered: it is left to people.

# Seen of a node: `leaving` drains; `was`, `old` answer by the old revision, `new`, `proven` by the new one,
# the second of each holding the list and having generated a sequence; `other` answers by a third. `gone`: no
# process is there; `quit`: the one that we started ended by itself. `refused`: it refused an order and said
# why. From `course`: `go` and `put` (its turn; by another process, or in place), `all` (its stage is ready),
# `undo`. By the clock: `warm`, `overdue`. From a verdict: `pass`.
NODE_EVENTS = "go put leaving was old new proven other gone quit refused all warm pass overdue undo"
NODE = table(
    "node",
    "waiting",
    "undone",
    """
waiting: go -> draining / change; put -> starting / change; leaving was old gone quit -> = / nothing; new proven other -> stuck / fail; undo -> undone / nothing; refused all warm pass overdue -> = / breach
draining: leaving -> = / nothing; was old -> = / change; gone quit -> starting / begin; new -> starting / nothing; proven -> ready / nothing; overdue -> = / kill; other refused -> failed / fail; undo -> undoing / nothing; go put all warm pass -> = / breach
starting: new -> = / nothing; proven -> ready / nothing; was old -> = / change; leaving -> = / nothing; gone -> = / begin; quit overdue refused other -> failed / fail; undo -> undoing / unchange; go put all warm pass -> = / breach
ready: all -> warming / nothing; new proven leaving -> = / nothing; gone quit -> = / died; was old other overdue -> failed / fail; refused -> = / nothing; undo -> undoing / unchange; go put warm pass -> = / breach
warming: warm -> watched / nothing; new proven leaving -> = / nothing; gone quit -> = / died; was old other overdue -> failed / fail; refused -> = / nothing; undo -> undoing / unchange; go put all pass -> = / breach
watched: pass -> kept / nothing; new proven leaving -> = / nothing; gone quit -> = / died; was old other overdue -> failed / fail; refused -> = / nothing; undo -> undoing / unchange; go put all warm -> = / breach
kept: new proven leaving -> = / nothing; gone quit -> = / died; was old other overdue -> failed / fail; refused -> = / nothing; undo -> undoing / unchange; go put all warm pass -> = / breach
undoing: leaving -> = / nothing; was -> returning / nothing; old -> undone / nothing; new proven -> = / unchange; gone quit -> returning / begin old; overdue -> = / kill; other refused -> stuck / tell; undo -> = / nothing; go put all warm pass -> = / breach
returning: was -> = / nothing; old -> undone / nothing; leaving -> = / nothing; gone -> = / begin old; quit -> = / begin old; new proven -> undoing / unchange; overdue other refused -> stuck / tell; undo -> = / nothing; go put all warm pass -> = / breach
failed: undo -> undoing / unchange; leaving was old new proven other gone quit refused all warm overdue pass -> = / nothing; go put -> = / breach
stuck: undo -> undoing / unchange; leaving was old new proven other gone quit refused all warm overdue pass -> = / nothing; go put -> = / breach
""",
    NODE_EVENTS,
)

MEASURE, NEXT, WATCH, HOLD, UNDO, FINISH = "measure", "next", "watch", "hold", "undo", "finish"

# The whole change. `measured`: the unchanged fleet was watched for long enough; `ready`: all nodes of the
# stage are; `warm`: their time of warming is over. `pass`, `last`, `worse`, `trouble`, `clear` are verdicts,
# `last` being `pass` of the last stage. `failed`: a changed node did not come up or died too often; `bound`:
# the time for this state is over; `back`: all that was changed is undone; `wedged`: a node is stuck and no
# other is in motion.
CHANGE_EVENTS = "begin measured ready warm pass last worse trouble clear failed bound undo back wedged"
COURSE = table(
    "change",
    "planned",
    "undone",
    """
planned: begin -> measuring / measure; undo -> undone / finish; measured ready warm pass last worse trouble clear failed bound back wedged -> = / breach
measuring: measured -> changing / next; trouble clear begin -> = / nothing; bound undo worse failed -> undoing / undo; ready warm pass last back wedged -> = / breach
changing: ready -> settling / nothing; trouble clear begin -> = / nothing; worse failed bound undo wedged -> undoing / undo; measured warm pass last back -> = / breach
settling: warm -> watching / watch; trouble clear begin ready -> = / nothing; worse failed bound undo wedged -> undoing / undo; measured pass last back -> = / breach
watching: pass -> changing / next; last -> kept / finish; trouble -> holding / hold; clear begin -> = / nothing; worse failed bound undo wedged -> undoing / undo; measured ready warm back -> = / breach
holding: clear -> watching / watch; trouble begin -> = / nothing; worse failed bound undo wedged -> undoing / undo; measured ready warm pass last back -> = / breach
undoing: back -> undone / finish; wedged -> stuck / tell; undo worse failed bound trouble clear begin ready warm -> = / nothing; measured pass last -> = / breach
stuck: undo -> undoing / undo; back -> undone / finish; worse failed bound trouble clear begin ready warm wedged -> = / nothing; measured pass last -> = / breach
kept: undo -> undoing / undo; worse failed bound trouble clear begin wedged -> = / nothing; measured ready warm pass last back -> = / breach
""",
    CHANGE_EVENTS,
)

TABLES = (NODE, COURSE)
MOVING = ("draining", "starting", "undoing", "returning")  # a node's states in which it may be away
CHANGED = ("draining", "starting", "ready", "warming", "watched", "kept", "undoing", "returning", "failed")
SERVING = ("ready", "warming", "watched", "kept")
UNDOING = ("undoing", "returning")
JUDGED = ("watched", "kept")
