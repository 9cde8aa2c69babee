-- Two of three voters are lost. Nobody can prove any more that a catalogue is in force, so within
-- seconds every instance refuses new requests and says why; with the majority back they go on.
cluster{}
change(1, "a", 0, catalogue{})
run(2000)
kill(1); kill(2)
run(4000)
for i = 3, 6 do assert(not fresh(i), "instance " .. i .. " still takes requests") end
local t = change(5, "b", 1, catalogue{mark = 2})
run(9000)
assert(result(t) ~= "success", "accepted without a majority")
assert(restart(1)); assert(restart(2))
run(5000)
for i = 1, 6 do assert(fresh(i)) end
