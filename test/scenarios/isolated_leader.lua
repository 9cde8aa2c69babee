-- The operator's change is accepted once and stays. The leader is cut off for ten minutes and still
-- believes it is in charge; the others elect another one and accept a change; then the old leader
-- returns. It must not serve its old catalogue meanwhile, disturb the rest on return, or revert.
cluster{}
change(1, "a", 0, catalogue{mark = 1})
run(2000)
local old = leader()
isolate(old)
run(5000)
assert(not fresh(old), "the isolated leader still takes requests")
local at = old % 3 + 1
local t = change(at, "b", 1, catalogue{mark = 2})
run(600000)
assert(result(t) == "success")
local term_leader = leader()
heal()
run(5000)
assert(leader() == term_leader, "the returning voter deposed the leader")
for i = 1, 6 do
  assert(revision(i) == 2 and fresh(i), "instance " .. i .. " is not at revision 2")
end
