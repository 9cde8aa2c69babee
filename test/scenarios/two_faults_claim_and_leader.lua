-- The leader dies while the answer to a claim is on its way, and the link from another voter to
-- the entry is cut. The entry repeats the claim until a majority has decided: either this claim or
-- a competing one from another instance is granted, never both.
cluster{seed = 3}
change(1, "a", 0, catalogue{})
run(2000)
local old_leader = leader()
local ticket = claim(5, "o1/k", "d", "req-a")
run(1)
kill(old_leader)
local competing = claim(6, "o1/k", "d", "req-b")
cut(old_leader % 3 + 1, 5)
run(4000)
heal()
run(6000)
local a, b = result(ticket), result(competing)
assert((a == "success") ~= (b == "success"), tostring(a) .. " and " .. tostring(b))
