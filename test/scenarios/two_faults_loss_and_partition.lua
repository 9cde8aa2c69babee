-- One voter has just restarted with an empty disk when the leader is cut off, so the two voters
-- that have the data cannot reach each other. No change may be accepted until they can, and no
-- accepted change may be lost.
cluster{}
for i = 1, 5 do change(1, "c" .. i, i - 1, catalogue{mark = i}); run(500) end
run(1000)
local old_leader = leader()
local empty = old_leader % 3 + 1
kill(empty); wipe(empty); assert(restart(empty))
isolate(old_leader)
run(8000)
local ticket = change(5, "x", 5, catalogue{mark = 77})
run(1000)
assert(result(ticket) ~= "success", "a change was accepted with the vote of an empty voter")
heal()
run(9000)
for i = 1, 6 do assert(revision(i) >= 5 and fresh(i)) end
assert(member(empty))
