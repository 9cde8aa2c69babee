-- The leader's disk fails while it runs. It must step down rather than acknowledge what it cannot
-- store, and the other two voters go on. After a restart with a working disk it is a member again.
cluster{}
change(1, "a", 0, catalogue{mark = 1})
run(2000)
local old_leader = leader()
disk_fails(old_leader, true)
local ticket = change(5, "b", 1, catalogue{mark = 2})
run(6000)
assert(broken(old_leader) and leader() ~= old_leader)
assert(result(ticket) == "success")
kill(old_leader); disk_fails(old_leader, false); assert(restart(old_leader))
run(4000)
assert(not broken(old_leader) and member(old_leader))
for i = 1, 6 do assert(revision(i) == 2 and fresh(i)) end
