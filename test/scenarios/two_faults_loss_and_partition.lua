-- One voter has just been replaced with an empty disk when the leader is isolated. Two voters that
-- remember are apart; nothing is accepted until one more is reached, and nothing accepted is lost.
cluster{}
for i = 1, 5 do change(1, "c" .. i, i - 1, catalogue{mark = i}); run(500) end
run(1000)
local old = leader()
local blank = old % 3 + 1
kill(blank); wipe(blank); assert(restart(blank))
isolate(old)
run(8000)
local t = change(5, "x", 5, catalogue{mark = 77})
run(1000)
assert(result(t) ~= "success", "a voter without memory helped to accept")
heal()
run(9000)
for i = 1, 6 do assert(revision(i) >= 5 and fresh(i)) end
assert(member(blank))
