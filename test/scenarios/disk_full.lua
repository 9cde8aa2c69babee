-- The leader's disk fails in the middle of its work. It steps down instead of promising what it
-- cannot keep; the other two go on; after a restart with a working disk it is back.
cluster{}
change(1, "a", 0, catalogue{mark = 1})
run(2000)
local bad = leader()
disk_fails(bad, true)
local t = change(5, "b", 1, catalogue{mark = 2})
run(6000)
assert(broken(bad) and leader() ~= bad)
assert(result(t) == "success")
kill(bad); disk_fails(bad, false); assert(restart(bad))
run(4000)
assert(not broken(bad) and member(bad))
for i = 1, 6 do assert(revision(i) == 2 and fresh(i)) end
