-- The leader is cut off for ten minutes and still considers itself the leader, while the other
-- voters elect a new one and accept a change. The old leader must not accept requests under its
-- old catalogue meanwhile, must not depose the new leader when it returns, and must not undo the
-- change.
cluster{}
change(1, "a", 0, catalogue{mark = 1})
run(2000)
local old_leader = leader()
isolate(old_leader)
run(5000)
assert(not fresh(old_leader), "the isolated leader still accepts requests")
local instance = old_leader % 3 + 1
local ticket = change(instance, "b", 1, catalogue{mark = 2})
run(600000)
assert(result(ticket) == "success")
local new_leader = leader()
heal()
run(5000)
assert(leader() == new_leader, "the returning voter deposed the leader")
for i = 1, 6 do
  assert(revision(i) == 2 and fresh(i), "instance " .. i .. " is not at revision 2")
end
