-- Two of three voters are lost. No instance can prove any more that its catalogue is in force, so
-- within seconds all of them must stop accepting requests. They resume when the majority is back.
cluster{}
change(1, "a", 0, catalogue{})
run(2000)
kill(1); kill(2)
run(4000)
for i = 3, 6 do assert(not fresh(i), "instance " .. i .. " still accepts requests") end
local ticket = change(5, "b", 1, catalogue{mark = 2})
run(9000)
assert(result(ticket) ~= "success", "accepted without a majority")
assert(restart(1)); assert(restart(2))
run(5000)
for i = 1, 6 do assert(fresh(i)) end
